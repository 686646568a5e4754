import type { Resources } from "../../common/leased/Resources.js";
import type { RunPhase } from "./RunPhase.js";

/** Run of a task that an entry has ordered and that has not been reported to it as finished. */
export interface OrderedRun {
    readonly task: string;
    /** Name of the connection to the entry that ordered it. */
    readonly owner: string;
    /** Number of the order on that connection. */
    readonly order: number;
    readonly spec: string;
    readonly need: Resources;
    readonly estimateMs: number;
    /** Time on the endpoint's clock until which a start may take effect. */
    readonly startBeforeMs: number;
    readonly orderedAt: number;
    /** Run number of the latest start; the agent increments it when it starts the task again. */
    run: number;
    phase: RunPhase;
    /** Number of starts sent for this order. */
    starts: number;
    /** Time at which the endpoint first confirmed the run. */
    startedAt: number | undefined;
    /** Why the run is to be stopped; undefined while it is wanted. */
    stopReason: string | undefined;
    /**
     * Time on the endpoint's clock beyond which the endpoint lease is not renewed while this run may be there; infinite
     * while it is wanted.
     */
    leaseLimitMs: number;
    /** Time at which the next stop call is due, while the phase is `stopping`. */
    stopDueAt: number;
    /** Whether the task is started again once the stop of an unconfirmed start has taken effect. */
    restartAfterStop: boolean;
    /**
     * Whether its endpoint was lost since it was ordered. It is only kept until it is ruled out, so a run of it that a
     * list shows is as unwanted as an orphaned one.
     */
    endpointLost: boolean;
    /** Time from which the task is returned although its endpoint is lost and a start of it may still be executed. */
    returnLostAt: number;
    /** Connections of entries whose order of the same task was refused because of this run. */
    readonly refusedOwners: Set<string>;
}
