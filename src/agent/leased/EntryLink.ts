import type { Clock } from "../../common/Clock.js";
import type { Disposable } from "../../common/Disposable.js";
import { DisposableStore } from "../../common/DisposableStore.js";
import { LEASE_TIMES } from "../../common/leased/LEASE_TIMES.js";
import type { Log } from "../../common/log/Log.js";
import type { Channel } from "../../common/wire/Channel.js";
import type { MessageOf } from "../../common/wire/MessageOf.js";
import type { EndpointSession } from "./EndpointSession.js";
import { LeaseEvent } from "./LeaseEvent.js";
import type { Runs } from "./Runs.js";

/** Attached entry: takes its orders while its tenure is in force, and stops its runs when it is lost. */
export class EntryLink implements Disposable {
    private untilMs = 0;
    private tenured = false;
    private orders = 0;
    private heardAt: number;
    private agents: number | undefined;
    private readonly listeners = new DisposableStore();

    constructor(
        private readonly channel: Channel,
        /** Names the connection; an entry that connects again is another owner. */
        public readonly owner: string,
        private readonly session: EndpointSession,
        private readonly runs: Runs,
        private readonly clock: Clock,
        private readonly log: Log,
    ) {
        this.heardAt = clock.now();
        // Tenures are times on the clock of the life that has ended.
        this.listeners.add(session.onGone(() => {
            this.untilMs = 0;
            this.tenured = false;
        }));
        this.listeners.add(session.onRenewal(() => this.checkTenure()));
    }

    public get orderCount(): number {
        return this.orders;
    }

    public get isTenured(): boolean {
        return this.tenured;
    }

    /** Agents of this kind that the entry has; undefined before it has told. */
    public get agentCount(): number | undefined {
        return this.agents;
    }

    /** Notes that the entry was heard. */
    public heard(): void {
        this.heardAt = this.clock.now();
    }

    /** Notes how many agents of this kind the entry has. */
    public takeAgentCount(agents: number): void {
        this.agents = agents;
    }

    /** Renews the tenure. */
    public takeTenure(untilMs: number): void {
        this.untilMs = untilMs;
        const clockMs = this.session.clockMs;
        this.tenured = clockMs !== undefined && clockMs < this.untilMs;
    }

    /** Takes an order, or gives its tasks back while no tenure is in force. */
    public takeOrder(message: MessageOf<"run">): void {
        this.orders = message.order;
        this.takeTenure(message.tenureUntilMs);
        const names = message.tasks.map(task => task.name);
        this.log.write(LeaseEvent.OrderTaken, {
            job: message.job,
            tasks: names,
            owner: this.owner,
            tenured: this.tenured,
            untilMs: this.untilMs,
            clockMs: this.session.clockMs,
        });
        this.runs.order(this.owner, message);
        if (!this.tenured) {
            this.runs.abort(this.owner, names, "no tenure");
        }
    }

    public takeAbort(message: MessageOf<"abort">): void {
        this.runs.abort(this.owner, message.tasks, message.reason, this.lostMs);
    }

    /** Stops the entry's runs once its tenure has lapsed, and gives its connection up once it is silent. */
    public check(): void {
        this.checkTenure();
        if (this.clock.now() - this.heardAt > LEASE_TIMES.ENTRY_TIMEOUT_MS) {
            this.channel.dispose();
        }
    }

    public dispose(): void {
        this.listeners.dispose();
        this.runs.abortOwner(this.owner, "connection to the entry lost", this.lostMs);
        this.tenured = false;
    }

    /**
     * Time on the endpoint's clock at which runs that end now were last wanted: an agent that was held up notices only
     * after the tenure that they have ended.
     */
    private get lostMs(): number | undefined {
        const clockMs = this.session.clockMs;
        return clockMs !== undefined && this.tenured ? Math.min(clockMs, this.untilMs) : clockMs;
    }

    private checkTenure(): void {
        const clockMs = this.session.clockMs;
        if (this.tenured && (clockMs === undefined || clockMs >= this.untilMs)) {
            this.abortRuns(clockMs);
            this.tenured = false;
        }
    }

    private abortRuns(clockMs: number | undefined): void {
        if (this.runs.has(this.owner)) {
            this.log.write(LeaseEvent.TenureLapsed, { owner: this.owner, untilMs: this.untilMs, clockMs });
            this.runs.abortOwner(this.owner, "tenure lapsed", this.lostMs);
        }
    }
}
