import type { CallDelivery } from "./CallDelivery.js";

/** Range from which a time is drawn, in milliseconds. */
interface TimeRange {
    readonly leastMs: number;
    readonly mostMs: number;
}

/** Kinds and rates of the faults that a simulation injects. */
export interface FaultProfile {
    /** Interval between two jobs. */
    readonly submitEveryMs: number;
    /** Time that callers wait for a response. */
    readonly budgetMs: number;
    /** Share of calls to endpoints that fail. Each of them fails in one of the ways in `fates`. */
    readonly faultyCallShare: number;
    readonly fates: readonly CallDelivery[];
    /** Time until a delayed call is executed. */
    readonly late: TimeRange;
    /** Whether an endpoint that restarted under its id executes delayed calls sent to its earlier incarnations. */
    readonly callsOutliveLives: boolean;
    /** Whether an endpoint that is down refuses connections; otherwise calls to it time out. */
    readonly refusesWhileDown: boolean;
    /** Time from the crash of an endpoint to its restart. */
    readonly down: TimeRange;
    /** Share of the submission steps after which a crash, a partition or a connection reset is injected. */
    readonly faultShare: number;
    /** Share of the runs that take a time from `longRun`. */
    readonly longRunShare: number;
    readonly longRun: TimeRange;
    /** In each period of `stopPeriodMs`, each endpoint delays stops for this long. Polls and starts are not delayed. */
    readonly stopsHeldMs: number;
    readonly stopPeriodMs: number;
    /** Rate of the endpoints' clocks; 1 is exact. */
    readonly clockRate: number;
}
