import type { Resources } from "../../common/leased/Resources.js";
import type { RunPhase } from "./RunPhase.js";

/** Run of a task that an entry has ordered and whose end it has not been told. */
export interface OrderedRun {
    readonly task: string;
    /** Entry that ordered it, by the name of its connection. */
    readonly owner: string;
    /** Number of the order on that connection. */
    readonly order: number;
    readonly spec: string;
    readonly need: Resources;
    readonly estimateMs: number;
    /** Time on the endpoint's clock until which a start may take effect. */
    readonly startBeforeMs: number;
    readonly orderedAt: number;
    /** Number of the newest start; the agent raises it when it starts the task again. */
    run: number;
    phase: RunPhase;
    /** Starts sent for this order. */
    starts: number;
    /** Time when the run was known to be there. */
    startedAt: number | undefined;
    /** Why the run is to be stopped; undefined while it is wanted. */
    abortReason: string | undefined;
    /** Time on the endpoint's clock beyond which no lease is renewed while this run may be there; infinite while it is wanted. */
    leaseLimitMs: number;
    /** When the next stop is due, while the phase is `stopping`. */
    stopDueAt: number;
    /** Restart after the stop of an unanswered start is confirmed. */
    restart: boolean;
    /** Entries whose order of the same task was refused because of this run. */
    readonly refusedOwners: Set<string>;
}
