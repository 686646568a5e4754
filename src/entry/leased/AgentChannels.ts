import type { Clock } from "../../common/Clock.js";
import type { Disposable } from "../../common/Disposable.js";
import { Emitter } from "../../common/Emitter.js";
import { LEASE_TIMES } from "../../common/leased/LEASE_TIMES.js";
import type { RoutingTable } from "../../common/leased/RoutingTable.js";
import type { RunCompletion } from "../../common/leased/RunCompletion.js";
import type { Log } from "../../common/log/Log.js";
import type { Channel } from "../../common/wire/Channel.js";
import type { Message } from "../../common/wire/Message.js";
import type { MessageOf } from "../../common/wire/MessageOf.js";
import { AgentView } from "./AgentView.js";
import { EntryLeaseEvent } from "./EntryLeaseEvent.js";
import { InputHorizon } from "./InputHorizon.js";
import { isInterchangeable } from "./isInterchangeable.js";

interface FinishedRuns {
    readonly agent: AgentView;
    readonly runs: readonly RunCompletion[];
}

/** A longer time between two checks for silent agents means that this process was stalled or overloaded in between. */
const MAX_CHECK_GAP_MS = 2 * LEASE_TIMES.ENTRY_LEASE_RENEWAL_MS;

/**
 * Tracks the attached agents: receives their reports, detects lost agents, sends them routing documents and the
 * addresses of entries, and renews the entry lease (`tenure` on the wire), until the end of which runs of this entry
 * may live at an agent.
 */
export class AgentChannels implements Disposable {
    private readonly views = new Map<string, AgentView>();
    /** Lost agents whose runs may not have ended yet. */
    private readonly lostAgents = new Set<AgentView>();
    private readonly finishedEmitter = new Emitter<FinishedRuns>();
    private readonly lostEmitter = new Emitter<AgentView>();
    private readonly loadEmitter = new Emitter<AgentView>();
    private readonly horizon: InputHorizon;
    private lastCheckAt = 0;
    private skipsTimeoutCheck = false;

    /** Attached agents; can be iterated any number of times. */
    public readonly agents: Iterable<AgentView> = { [Symbol.iterator]: () => this.views.values() };
    public readonly onRunsFinished = this.finishedEmitter.event;
    /** Fires when an agent is lost: its runs can no longer be followed. */
    public readonly onAgentLost = this.lostEmitter.event;
    /** Fires on each load report, after which more capacity may be free. */
    public readonly onLoadReport = this.loadEmitter.event;

    constructor(
        private readonly routes: RoutingTable,
        private readonly entryAddresses: () => readonly string[],
        private readonly clock: Clock,
        private readonly log: Log,
    ) {
        this.horizon = new InputHorizon(clock, log);
        this.horizon.onAdvance(() => this.checkAgents());
        routes.onChange(document => {
            log.write(EntryLeaseEvent.RoutesApplied, { version: document.version });
            this.broadcast({ kind: "routes", document });
        });
        this.checkAgents();
    }

    /** Whether the process is late, so that run orders would give the tasks hardly any time. */
    public get isLate(): boolean {
        return this.horizon.isTooOld;
    }

    public get(id: string): AgentView | undefined {
        return this.views.get(id);
    }

    /**
     * Whether a run of the task that this entry ordered may still be going on: no agent has reported its end, and the
     * time after which the runs of a lost agent have ended is not over.
     */
    public mayBeRunning(task: string): boolean {
        return hasTask(this.views.values(), task) || hasTask(this.lostAgents, task);
    }

    /** Renews the entry lease at an agent, and returns its new end on the endpoint's clock for a message to the agent. */
    public renewEntryLease(view: AgentView): number {
        return view.renewEntryLease(this.horizon.at);
    }

    /** Attaches an agent. An agent that is already attached from the same VM counts as lost. */
    public attach(channel: Channel): void {
        const id = channel.peer.id;
        const older = this.views.get(id);
        if (older !== undefined) {
            this.removeAgent(older, "agent attached again");
        }
        const view = new AgentView(id, channel.peer.failureDomain, channel);
        this.views.set(id, view);
        this.log.write(EntryLeaseEvent.AgentAttached, { agent: id, incarnation: channel.peer.incarnation });
        channel.onMessage(message => {
            if (this.views.get(id) === view) {
                this.receive(view, message);
            }
        });
        channel.onClose(reason => {
            this.removeAgent(view, reason);
        });
        this.sendInitialState(channel);
    }

    /** Sends the addresses of all known entries to every agent. */
    public broadcastEntryAddresses(): void {
        this.broadcast({ kind: "entries", addresses: this.entryAddresses() });
    }

    public dispose(): void {
        this.horizon.dispose();
        for (const view of [...this.views.values()]) {
            view.channel.close("entry stops");
        }
    }

    private sendInitialState(channel: Channel): void {
        channel.send({ kind: "entries", addresses: this.entryAddresses() });
        if (this.routes.document !== undefined) {
            channel.send({ kind: "routes", document: this.routes.document });
        }
    }

    private receive(view: AgentView, message: Message): void {
        switch (message.kind) {
            case "load":
                this.handleLoad(view, message);
                break;
            case "ended":
                this.finishedEmitter.fire({ agent: view, runs: message.runs });
                break;
            case "routes":
                this.routes.applyIfNewer(message.document);
                break;
            default:
                break;
        }
    }

    private handleLoad(view: AgentView, message: MessageOf<"load">): void {
        const before = view.status;
        view.applyReport(message, this.clock.now());
        const after = message.condition;
        if (before?.accepting !== after.accepting || before.endpoint !== after.endpoint) {
            const { endpoint, service, accepting } = after;
            this.log.write(EntryLeaseEvent.EndpointChanged, { agent: view.id, endpoint, service, accepting });
        }
        if (view.tasks.size > 0 && !message.tenured) {
            this.sendRenewal(view);
        }
        this.loadEmitter.fire(view);
    }

    private checkAgents(): void {
        const now = this.clock.now();
        // After a stall of this process, agents seem silent until their reports have been read, so one check is
        // skipped. Not two in a row: a process that is always late would never notice a silent agent.
        this.skipsTimeoutCheck = !this.skipsTimeoutCheck && now - this.lastCheckAt > MAX_CHECK_GAP_MS;
        this.lastCheckAt = now;
        for (const view of [...this.views.values()]) {
            if (!this.skipsTimeoutCheck && isTimedOut(view, now)) {
                this.removeAgent(view, "no load report within the timeout");
                view.channel.dispose();
            }
            else if (isRenewalDue(view, this.horizon.at)) {
                this.sendRenewal(view);
            }
        }
    }

    private sendRenewal(view: AgentView): void {
        const agents = this.countInterchangeable(view);
        const untilMs = this.renewEntryLease(view);
        view.channel.send({ kind: "tenure", untilMs, incarnation: view.status?.incarnation, agents });
    }

    /** Number of agents whose endpoints can run the same tasks as this one's, itself included. */
    private countInterchangeable({ status }: AgentView): number {
        let count = 0;
        for (const other of this.views.values()) {
            count += isInterchangeable(other.status, status) ? 1 : 0;
        }
        return count;
    }

    private removeAgent(view: AgentView, reason: string): void {
        if (this.views.get(view.id) !== view) {
            return;
        }
        this.views.delete(view.id);
        this.log.write(EntryLeaseEvent.AgentLost, { agent: view.id, reason, tasks: [...view.tasks] });
        this.lostAgents.add(view);
        this.clock.schedule(LEASE_TIMES.LOST_RUN_EXPIRY_MS, () => this.lostAgents.delete(view));
        this.lostEmitter.fire(view);
    }

    private broadcast(message: Message): void {
        for (const view of this.views.values()) {
            view.channel.send(message);
        }
    }
}

function hasTask(views: Iterable<AgentView>, task: string): boolean {
    for (const view of views) {
        if (view.tasks.has(task)) {
            return true;
        }
    }
    return false;
}

function isTimedOut(view: AgentView, now: number): boolean {
    const limitMs = view.tasks.size > 0 ? LEASE_TIMES.AGENT_TIMEOUT_MS : LEASE_TIMES.IDLE_AGENT_TIMEOUT_MS;
    return view.status !== undefined && view.reportAgeMs(now) > limitMs;
}

/**
 * Whether the entry lease at an agent is due for renewal at `horizon`, in milliseconds of the entry's clock. Run orders
 * count as renewals: they renew the lease to the same time as a renewal that could have been sent with them.
 */
function isRenewalDue(view: AgentView, horizon: number): boolean {
    const intervalMs = view.tasks.size > 0
        ? LEASE_TIMES.ENTRY_LEASE_RENEWAL_MS
        : LEASE_TIMES.IDLE_ENTRY_LEASE_RENEWAL_MS;
    // The horizon advances once per interval, in a late process by half an interval or more. The tolerance of half an
    // interval makes each advance renew the lease of an agent with tasks.
    return view.leaseAgeMs(horizon) >= intervalMs - LEASE_TIMES.ENTRY_LEASE_RENEWAL_MS / 2;
}
