import type { CallDelivery } from "./CallDelivery.js";
import type { PlannedEndProfile } from "./PlannedEndProfile.js";
import type { StallProfile } from "./StallProfile.js";
import type { TimeRange } from "./TimeRange.js";

/** Kinds and rates of the faults that a simulation injects. */
export interface FaultProfile {
    readonly entries: number;
    readonly agents: number;
    /** Number of failure domains over which entries and agents are spread. */
    readonly failureDomains: number;
    /** Interval between two jobs. */
    readonly submitEveryMs: number;
    /** Time that callers wait for a response. */
    readonly budgetMs: number;
    /** Share of calls to endpoints that fail, each with one of `faultyDeliveries`. */
    readonly faultyCallShare: number;
    readonly faultyDeliveries: readonly CallDelivery[];
    /** Time until a delayed call is executed. */
    readonly deliveryDelay: TimeRange;
    /** Whether a restarted endpoint executes delayed calls that were sent to its earlier incarnations. */
    readonly acceptsCallsToEarlierIncarnations: boolean;
    /** Whether an endpoint that is down refuses connections; otherwise calls to it time out. */
    readonly refusesWhileDown: boolean;
    /** Whether a crash of an endpoint resets the connections of waiting polls; otherwise they get a last list. */
    readonly resetsConnectionsAtCrash: boolean;
    /** Time from the crash of an endpoint to its restart. */
    readonly downtime: TimeRange;
    /** Share of the submission steps after which a crash, a partition or a connection reset is injected. */
    readonly faultShare: number;
    /** Share of the runs that take a time from `longRun`. */
    readonly longRunShare: number;
    readonly longRun: TimeRange;
    /** In each period of `stopPeriodMs`, each endpoint delays stops for this long. Polls and starts are not delayed. */
    readonly stopDelayMs: number;
    readonly stopPeriodMs: number;
    /** Rate of the endpoints' clocks; 1 is exact. */
    readonly clockRate: number;
    /** Undefined when nothing ends as planned. */
    readonly plannedEnds: PlannedEndProfile | undefined;
    /** Undefined when processes handle everything at once. */
    readonly stalls: StallProfile | undefined;
}
