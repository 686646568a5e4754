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
    private leaseUntilMs = 0;
    private leaseInForce = false;
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
        // An entry lease is a time on the clock of the incarnation that has ended.
        this.listeners.add(session.onLost(() => {
            this.leaseUntilMs = 0;
            this.leaseInForce = false;
        }));
        this.listeners.add(session.onRenewal(() => this.checkLease()));
    }

    public get lastOrder(): number {
        return this.lastOrderNumber;
    }

    public get hasLease(): boolean {
        return this.leaseInForce;
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

    /** Renews the entry lease to `untilMs` on the clock of an incarnation of the endpoint; ignored for another one. */
    public renewLease(untilMs: number, incarnation: string | undefined): void {
        if (!this.isCurrent(incarnation)) {
            return;
        }
        this.leaseUntilMs = untilMs;
        const clockMs = this.session.clockMs;
        this.leaseInForce = clockMs !== undefined && clockMs < this.leaseUntilMs;
    }

    /**
     * Accepts a run order, or returns its tasks to the entry while no entry lease is in force, or when its times are on
     * the clock of another incarnation of the endpoint.
     */
    public handleOrder(message: MessageOf<"run">): void {
        this.lastOrderNumber = message.order;
        this.renewLease(message.tenureUntilMs, message.incarnation);
        const names = message.tasks.map(task => task.name);
        this.log.write(LeaseEvent.RunOrderReceived, {
            job: message.job,
            tasks: names,
            owner: this.owner,
            tenured: this.leaseInForce,
            untilMs: this.leaseUntilMs,
            clockMs: this.session.clockMs,
        });
        if (!this.isCurrent(message.incarnation)) {
            this.runs.acceptOrder(this.owner, { ...message, startBeforeMs: WINDOW_OVER });
            this.runs.abort(this.owner, names, "ordered on the clock of another incarnation of the endpoint");
            return;
        }
        this.runs.acceptOrder(this.owner, message);
        if (!this.leaseInForce) {
            this.runs.abort(this.owner, names, "no entry lease in force");
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
        this.leaseInForce = false;
    }

    /**
     * Time on the endpoint's clock until which runs that are stopped now were wanted. An agent that was paused notices
     * the expiry of an entry lease late, so this is the end of that lease if it has passed.
     */
    private get wantedUntilMs(): number | undefined {
        const clockMs = this.session.clockMs;
        return clockMs !== undefined && this.leaseInForce ? Math.min(clockMs, this.leaseUntilMs) : clockMs;
    }

    /** Whether an entry means the current incarnation; older entries do not name any. */
    private isCurrent(incarnation: string | undefined): boolean {
        return incarnation === undefined || incarnation === this.session.incarnation;
    }

    private checkLease(): void {
        const clockMs = this.session.clockMs;
        if (this.leaseInForce && (clockMs === undefined || clockMs >= this.leaseUntilMs)) {
            this.abortExpiredRuns(clockMs);
            this.leaseInForce = false;
        }
    }

    private abortExpiredRuns(clockMs: number | undefined): void {
        if (this.runs.has(this.owner)) {
            this.log.write(LeaseEvent.EntryLeaseExpired, { owner: this.owner, untilMs: this.leaseUntilMs, clockMs });
            this.runs.abortOwner(this.owner, "entry lease expired", this.wantedUntilMs);
        }
    }
}
