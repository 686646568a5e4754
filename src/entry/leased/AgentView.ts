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

/** Lower bound of the endpoint's clock in a report, with the time at which the report was read. */
interface ClockSample {
    readonly clockMs: number;
    readonly at: number;
}

/**
 * Number of reports whose clocks are compared. Several of them lie on both sides of the time of an estimate, and a report
 * that was read late does not set the estimate back.
 */
const CLOCK_SAMPLES = 4;

/** State of one attached agent and its endpoint, as the entry knows it. */
export class AgentView {
    /** Names of the tasks that the entry has sent to this agent and that have not ended. */
    public readonly tasks = new Set<string>();
    /** Clock of the endpoint's current incarnation in the last reports, the newest last. */
    private clockSamples: readonly ClockSample[] = [];
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
        this.observeClock(message.condition, now);
        this.lastStatus = message.condition;
        this.reportedAt = now;
        this.unreportedOrders = this.unreportedOrders.filter(order => order.number > message.orders);
        const reported = addResources(message.condition.capacity, message.condition.used, -1);
        this.freeCapacity = this.unreportedOrders.reduce((sum, order) => addResources(sum, order.need, -1), reported);
    }

    /**
     * Estimate of the endpoint's clock at a time, in milliseconds, which lags behind it by at least the one-way network
     * delay; undefined until a report contains it.
     */
    public clockMs(at: number): number | undefined {
        const bounds = this.clockSamples.map(sample => lowerBound(sample, at));
        return bounds.length === 0 ? undefined : Math.floor(Math.max(...bounds));
    }

    /** Time from the horizon of the last renewal of the entry lease to another horizon, in milliseconds. */
    public leaseAgeMs(horizon: number): number {
        return horizon - this.leaseRenewedAt;
    }

    /**
     * Records a renewal of the entry lease, which begins at the time up to which the entry has read its input. Returns its
     * new end on the endpoint's clock, or 0 while that clock is unknown.
     */
    public renewEntryLease(horizon: number): number {
        const clockMs = this.clockMs(horizon);
        this.leaseRenewedAt = horizon;
        return clockMs === undefined ? 0 : clockMs + LEASE_TIMES.ENTRY_LEASE_MS;
    }

    /** Capacity that is in use neither by the last report nor by later run orders of this entry. */
    public free(): Resources {
        return this.freeCapacity;
    }

    /**
     * Reserves capacity for a task until a report includes the run order with the next number. `TaskPlacer` reserves
     * for all batches of a job before it sends the first one, so the reservations of a later batch to the same agent
     * have the number of the first.
     */
    public reserve(need: Resources): void {
        this.unreportedOrders.push({ number: this.lastRunOrder + 1, need });
        this.freeCapacity = addResources(this.freeCapacity, need, -1);
    }

    /** Returns the number of the run order that is sent now. */
    public nextRunOrder(): number {
        this.lastRunOrder += 1;
        return this.lastRunOrder;
    }

    private observeClock({ clockMs, endpoint, incarnation }: EndpointStatus, now: number): void {
        const isSame = incarnation !== undefined && incarnation === this.lastStatus?.incarnation
            && endpoint === this.lastStatus.endpoint;
        const earlier = isSame ? this.clockSamples.slice(1 - CLOCK_SAMPLES) : [];
        this.clockSamples = clockMs === 0 ? [] : [...earlier, { clockMs, at: now }];
    }
}

/**
 * Estimate of an endpoint's clock at a time that is not ahead of it. Before the sample, the clock is assumed to be exact,
 * and after it, to run at the slowest rate.
 */
function lowerBound({ clockMs, at: sampledAt }: ClockSample, at: number): number {
    return clockMs + (at - sampledAt) * (at < sampledAt ? 1 : LEASE_TIMES.MIN_CLOCK_RATE);
}
