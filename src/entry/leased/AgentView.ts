import { addResources } from "../../common/leased/addResources.js";
import type { EndpointStatus } from "../../common/leased/EndpointStatus.js";
import { LEASE_TIMES } from "../../common/leased/LEASE_TIMES.js";
import { NO_RESOURCES } from "../../common/leased/NO_RESOURCES.js";
import type { Resources } from "../../common/leased/Resources.js";
import type { Channel } from "../../common/wire/Channel.js";
import type { MessageOf } from "../../common/wire/MessageOf.js";

interface UnreportedOrder {
    readonly number: number;
    readonly need: Resources;
}

/** State of one attached agent and its endpoint, as the entry knows it. */
export class AgentView {
    /** Names of the tasks that the entry has sent to this agent and that have not ended. */
    public readonly tasks = new Set<string>();
    private lastStatus: EndpointStatus | undefined;
    private reportedAt = 0;
    private leaseRenewedAt = Number.NEGATIVE_INFINITY;
    private lastRunOrder = 0;
    /** Run orders that the last report does not include yet. */
    private unreportedOrders: UnreportedOrder[] = [];
    private freeCapacity: Resources = NO_RESOURCES;

    constructor(
        /** Name of the agent's VM. */
        public readonly id: string,
        public readonly failureDomain: string,
        public readonly channel: Channel,
    ) {}

    public get status(): EndpointStatus | undefined {
        return this.lastStatus;
    }

    /** Whether the agent accepts tasks and the clock of its endpoint is known. */
    public get accepting(): boolean {
        return this.lastStatus?.accepting === true && this.lastStatus.clockMs > 0;
    }

    /** Time since the newest load report in milliseconds. */
    public reportAgeMs(now: number): number {
        return now - this.reportedAt;
    }

    /** Stores a load report of the agent. */
    public applyReport(message: MessageOf<"load">, now: number): void {
        this.lastStatus = message.condition;
        this.reportedAt = now;
        this.unreportedOrders = this.unreportedOrders.filter(order => order.number > message.orders);
        const reported = addResources(message.condition.capacity, message.condition.used, -1);
        this.freeCapacity = this.unreportedOrders.reduce((sum, order) => addResources(sum, order.need, -1), reported);
    }

    /**
     * Estimate of the endpoint's clock in milliseconds, which lags behind it by at least the one-way network delay;
     * undefined until a report contains it.
     */
    public clockMs(now: number): number | undefined {
        const reported = this.lastStatus?.clockMs ?? 0;
        return reported === 0 ? undefined : Math.floor(reported + this.reportAgeMs(now) * LEASE_TIMES.MIN_CLOCK_RATE);
    }

    /** Time since the last renewal of the entry lease in milliseconds. */
    public leaseAgeMs(now: number): number {
        return now - this.leaseRenewedAt;
    }

    /**
     * Records a renewal of the entry lease; returns its new end on the endpoint's clock, or 0 while that clock is
     * unknown.
     */
    public renewEntryLease(now: number): number {
        const clockMs = this.clockMs(now);
        this.leaseRenewedAt = now;
        return clockMs === undefined ? 0 : clockMs + LEASE_TIMES.ENTRY_LEASE_MS;
    }

    /** Capacity that is in use neither by the last report nor by later run orders of this entry. */
    public free(): Resources {
        return this.freeCapacity;
    }

    /** Reserves capacity for a task of the run order whose number the next call of `nextRunOrder` returns. */
    public reserve(need: Resources): void {
        this.unreportedOrders.push({ number: this.lastRunOrder + 1, need });
        this.freeCapacity = addResources(this.freeCapacity, need, -1);
    }

    /** Returns the number of the run order that is sent now. */
    public nextRunOrder(): number {
        this.lastRunOrder += 1;
        return this.lastRunOrder;
    }
}
