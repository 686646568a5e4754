import type { CallDelivery } from "./CallDelivery.js";

/** Bounds of a time in milliseconds. */
interface TimeRange {
    readonly leastMs: number;
    readonly mostMs: number;
}

/** Faults that a play draws from, and how often they come. */
export interface FaultProfile {
    /** Time from one job to the next. */
    readonly submitEveryMs: number;
    /** How long callers wait. */
    readonly budgetMs: number;
    /** Share of calls to endpoints that go wrong, and how they do. */
    readonly faultyCallShare: number;
    readonly fates: readonly CallDelivery[];
    /** Time after which a late call is carried out. */
    readonly late: TimeRange;
    /** Whether an endpoint that has started again under its id carries late calls of its earlier lives out. */
    readonly callsOutliveLives: boolean;
    /** Whether an endpoint that is down refuses connections; otherwise calls to it are lost. */
    readonly refusesWhileDown: boolean;
    /** Time from a crash of an endpoint to its next life. */
    readonly down: TimeRange;
    /** Share of the steps at which something breaks. */
    readonly faultShare: number;
    /** Share of the runs that last long, and for how long. */
    readonly longRunShare: number;
    readonly longRun: TimeRange;
    /** Each endpoint holds its stops back for so long in each period; looks and starts are not touched. */
    readonly stopsHeldMs: number;
    readonly stopPeriodMs: number;
    /** Milliseconds of the endpoints' clocks in a millisecond. */
    readonly clockRate: number;
}
