import type { Clock } from "../../common/Clock.js";
import type { Disposable } from "../../common/Disposable.js";
import { DisposableStore } from "../../common/DisposableStore.js";
import { LEASE_TIMES } from "../../common/leased/LEASE_TIMES.js";
import type { Log } from "../../common/log/Log.js";
import type { Channel } from "../../common/wire/Channel.js";
import type { MessageOf } from "../../common/wire/MessageOf.js";
import type { EndpointRuns } from "./EndpointRuns.js";
import type { EndpointSession } from "./EndpointSession.js";
import { LeaseEvent } from "./LeaseEvent.js";

/** End of a start window in which nothing can start, on any clock of an endpoint. */
const WINDOW_OVER = 0;

/**
 * Connection to an attached entry. Accepts its run orders while its entry lease is in force, and stops its runs when
 * that lease expires or the connection is lost. The entry lease, `tenure` on the wire, is the time on the endpoint's
 * clock until which the entry's runs may live here; the entry renews it.
 */
export class EntryLink implements Disposable {
    /** End of the entry lease on the clock of the current incarnation; undefined without one on that clock. */
    private leaseUntilMs: number | undefined;
    private lastOrderNumber = 0;
    private lastMessageAt: number;
    private agents: number | undefined;
    private readonly listeners = new DisposableStore();

    constructor(
        private readonly channel: Channel,
        /** Name of the connection; an entry that connects again is another owner. */
        public readonly owner: string,
        private readonly session: EndpointSession,
        private readonly runs: EndpointRuns,
        private readonly clock: Clock,
        private readonly log: Log,
    ) {
        this.lastMessageAt = clock.now();
        this.listeners.add(session.onLost(({ replaced }) => {
            if (replaced) {
                // An entry lease is a time on the clock of the incarnation that has ended.
                this.leaseUntilMs = undefined;
            }
        }));
        this.listeners.add(session.onRenewal(() => this.checkLease()));
    }

    public get lastOrder(): number {
        return this.lastOrderNumber;
    }

    /** Whether the entry lease is in force. It is not while the endpoint's clock is unknown. */
    public get hasLease(): boolean {
        const { clockMs } = this.session;
        return clockMs !== undefined && this.leaseUntilMs !== undefined && clockMs < this.leaseUntilMs;
    }

    /** Number of agents of this kind that are attached to the entry; undefined until it has reported it. */
    public get agentCount(): number | undefined {
        return this.agents;
    }

    /** Records that a message of the entry has arrived. */
    public recordMessage(): void {
        this.lastMessageAt = this.clock.now();
    }

    /** Sets the number of agents of this kind that are attached to the entry. */
    public setAgentCount(agents: number): void {
        this.agents = agents;
    }

    /**
     * Extends the entry lease to `untilMs` on the endpoint's clock; an end before the current one has no effect.
     * Ignored when `incarnation` names another incarnation than the current one. If the lease has expired even after
     * this, the runs of the entry are stopped.
     */
    public renewLease(untilMs: number, incarnation: string | undefined): void {
        if (this.isCurrent(incarnation)) {
            this.leaseUntilMs = Math.max(this.leaseUntilMs ?? 0, untilMs);
            this.checkLease();
        }
    }

    /**
     * Accepts a run order, or returns its tasks to the entry while no entry lease is in force, or when its times are on
     * the clock of another incarnation of the endpoint.
     */
    public handleOrder(message: MessageOf<"run">): void {
        this.lastOrderNumber = message.order;
        this.renewLease(message.tenureUntilMs, message.incarnation);
        this.log.write(LeaseEvent.RunOrderReceived, {
            job: message.job,
            tasks: message.tasks.map(({ name }) => name),
            owner: this.owner,
            tenured: this.hasLease,
            untilMs: this.leaseUntilMs,
            clockMs: this.session.clockMs,
        });
        if (!this.isCurrent(message.incarnation)) {
            this.returnOrder(message, "ordered on the clock of another incarnation of the endpoint");
        }
        else if (this.hasLease) {
            this.runs.acceptOrder(this.owner, message);
        }
        else {
            this.returnOrder(message, "no entry lease in force");
        }
    }

    public handleAbort(message: MessageOf<"abort">): void {
        this.runs.abort(this.owner, message.tasks, message.reason, this.wantedUntilMs);
    }

    /**
     * Stops the entry's runs once its entry lease has expired, and closes the connection when no message has arrived
     * for too long.
     */
    public checkTimeouts(): void {
        this.checkLease();
        if (this.clock.now() - this.lastMessageAt > LEASE_TIMES.ENTRY_TIMEOUT_MS) {
            this.channel.dispose();
        }
    }

    public dispose(): void {
        this.listeners.dispose();
        this.runs.abortOwner(this.owner, "connection to the entry lost", this.wantedUntilMs);
    }

    /**
     * Time on the endpoint's clock until which runs that are stopped now were wanted. An agent that was paused notices
     * the expiry of an entry lease late, so this is the end of that lease if it has passed.
     */
    private get wantedUntilMs(): number | undefined {
        const { clockMs } = this.session;
        return clockMs === undefined ? undefined : Math.min(clockMs, this.leaseUntilMs ?? clockMs);
    }

    /** Returns the tasks of an order without starting them. */
    private returnOrder(message: MessageOf<"run">, reason: string): void {
        const names = this.runs.supersede(this.owner, message, reason);
        const tasks = message.tasks.filter(({ name }) => !names.includes(name));
        this.runs.acceptOrder(this.owner, { ...message, tasks, startBeforeMs: WINDOW_OVER });
        this.runs.abort(this.owner, tasks.map(({ name }) => name), reason);
    }

    /** Whether an entry means the current incarnation; older entries do not name any. */
    private isCurrent(incarnation: string | undefined): boolean {
        return incarnation === undefined || incarnation === this.session.incarnation;
    }

    /** Stops the runs that the entry lease no longer covers, whatever has ended it. */
    private checkLease(): void {
        if (!this.hasLease && this.runs.hasRunsWithoutLeaseLimit(this.owner)) {
            const { clockMs } = this.session;
            this.log.write(LeaseEvent.EntryLeaseExpired, { owner: this.owner, untilMs: this.leaseUntilMs, clockMs });
            this.runs.abortOwner(this.owner, "entry lease expired", this.wantedUntilMs);
        }
    }
}
