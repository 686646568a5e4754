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
import { isAlike } from "./isAlike.js";
import { StandstillDetector } from "./StandstillDetector.js";

interface AgentEnds {
    readonly agent: AgentView;
    readonly runs: readonly RunCompletion[];
}

/** Time between two checks for silent agents beyond which the process stood still or was overloaded between them. */
const MAX_CHECK_GAP_MS = 2 * LEASE_TIMES.ENTRY_LEASE_RENEWAL_MS;

/** Controller of the attached agents: tenures, reports, losses, and the spread of routing documents and addresses. */
export class AgentChannels implements Disposable {
    private readonly views = new Map<string, AgentView>();
    /** Lost agents whose runs may go on. */
    private readonly lapsing = new Set<AgentView>();
    private readonly ends = new Emitter<AgentEnds>();
    private readonly losses = new Emitter<AgentView>();
    private readonly loads = new Emitter<AgentView>();
    private readonly standstill: StandstillDetector;
    private cancelTenure: (() => void) | undefined;
    private checkedAt = 0;
    private waitsForReports = false;

    /** Attached agents; can be gone through any number of times. */
    public readonly agents: Iterable<AgentView> = { [Symbol.iterator]: () => this.views.values() };
    public readonly onEnded = this.ends.event;
    /** Fires with an agent whose runs can no longer be followed. */
    public readonly onLost = this.losses.event;
    /** Fires when more room may be free. */
    public readonly onLoad = this.loads.event;

    constructor(
        private readonly routes: RoutingTable,
        private readonly entryAddresses: () => readonly string[],
        private readonly clock: Clock,
        private readonly log: Log,
    ) {
        this.standstill = new StandstillDetector(clock);
        routes.onChange(document => {
            log.write(EntryLeaseEvent.RoutesTaken, { version: document.version });
            this.sendAll({ kind: "routes", document });
        });
        this.renewTenures();
    }

    /** Whether the entry stood still just now and may not have read yet what agents and callers sent meanwhile. */
    public get unread(): boolean {
        return this.standstill.unread;
    }

    public get(id: string): AgentView | undefined {
        return this.views.get(id);
    }

    /** Whether a run of the task that was ordered here may go on: no agent has told its end, and it has not lapsed. */
    public mayRun(task: string): boolean {
        return holds(this.views.values(), task) || holds(this.lapsing, task);
    }

    /** Attaches an agent; an older channel of the same VM is given up. */
    public attach(channel: Channel): void {
        const id = channel.peer.id;
        const older = this.views.get(id);
        if (older !== undefined) {
            this.lose(older, "attached again");
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
            this.lose(view, reason);
        });
        this.introduce(channel);
    }

    /** Tells all agents the addresses of entries that became known. */
    public spreadEntries(): void {
        this.sendAll({ kind: "entries", addresses: this.entryAddresses() });
    }

    public dispose(): void {
        this.cancelTenure?.();
        this.standstill.dispose();
        for (const view of [...this.views.values()]) {
            view.channel.close("entry stops");
        }
    }

    private introduce(channel: Channel): void {
        channel.send({ kind: "entries", addresses: this.entryAddresses() });
        if (this.routes.document !== undefined) {
            channel.send({ kind: "routes", document: this.routes.document });
        }
    }

    private receive(view: AgentView, message: Message): void {
        switch (message.kind) {
            case "load":
                this.takeLoad(view, message);
                break;
            case "ended":
                this.ends.fire({ agent: view, runs: message.runs });
                break;
            case "routes":
                this.routes.applyIfNewer(message.document);
                break;
            default:
                break;
        }
    }

    private takeLoad(view: AgentView, message: MessageOf<"load">): void {
        const before = view.current;
        view.take(message, this.clock.now());
        const after = message.condition;
        if (before?.accepting !== after.accepting || before.endpoint !== after.endpoint) {
            const { endpoint, service, accepting } = after;
            this.log.write(EntryLeaseEvent.EndpointChanged, { agent: view.id, endpoint, service, accepting });
        }
        if (view.tasks.size > 0 && !message.tenured) {
            this.renewTenure(view);
        }
        this.loads.fire(view);
    }

    private renewTenures(): void {
        const now = this.clock.now();
        // After standing still itself, the entry first has to read what has arrived meanwhile; one that is always late checks
        // every other time.
        this.waitsForReports = !this.waitsForReports && now - this.checkedAt > MAX_CHECK_GAP_MS;
        this.checkedAt = now;
        for (const view of [...this.views.values()]) {
            if (!this.waitsForReports && isSilent(view, now)) {
                this.lose(view, "silent");
                view.channel.dispose();
            }
            else if (isTenureDue(view, now)) {
                this.renewTenure(view);
            }
        }
        this.cancelTenure = this.clock.schedule(LEASE_TIMES.ENTRY_LEASE_RENEWAL_MS, () => {
            this.renewTenures();
        });
    }

    private renewTenure(view: AgentView): void {
        const agents = this.countAlike(view);
        view.channel.send({ kind: "tenure", untilMs: view.renewTenure(this.clock.now()), agents });
    }

    /** Number of agents whose endpoints can run what this one can, itself included. */
    private countAlike({ current }: AgentView): number {
        let count = 0;
        for (const other of this.views.values()) {
            count += isAlike(other.current, current) ? 1 : 0;
        }
        return count;
    }

    private lose(view: AgentView, reason: string): void {
        if (this.views.get(view.id) !== view) {
            return;
        }
        this.views.delete(view.id);
        this.log.write(EntryLeaseEvent.AgentLost, { agent: view.id, reason, tasks: [...view.tasks] });
        this.lapsing.add(view);
        this.clock.schedule(LEASE_TIMES.LOST_RUN_EXPIRY_MS, () => this.lapsing.delete(view));
        this.losses.fire(view);
    }

    private sendAll(message: Message): void {
        for (const view of this.views.values()) {
            view.channel.send(message);
        }
    }
}

function holds(views: Iterable<AgentView>, task: string): boolean {
    for (const view of views) {
        if (view.tasks.has(task)) {
            return true;
        }
    }
    return false;
}

function isSilent(view: AgentView, now: number): boolean {
    const limitMs = view.tasks.size > 0 ? LEASE_TIMES.AGENT_TIMEOUT_MS : LEASE_TIMES.IDLE_AGENT_TIMEOUT_MS;
    return view.current !== undefined && view.ageMs(now) > limitMs;
}

/** Orders renew the tenure as well, so that an agent with a steady flow of them needs no other renewal. */
function isTenureDue(view: AgentView, now: number): boolean {
    const intervalMs = view.tasks.size > 0
        ? LEASE_TIMES.ENTRY_LEASE_RENEWAL_MS
        : LEASE_TIMES.IDLE_ENTRY_LEASE_RENEWAL_MS;
    // The timer runs once an interval: half of it tells a renewal by the timer from one by an order just before.
    return view.tenureAgeMs(now) >= intervalMs - LEASE_TIMES.ENTRY_LEASE_RENEWAL_MS / 2;
}
