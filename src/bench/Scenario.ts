import type { InjectedFault } from "./InjectedFault.js";
import type { TaskMix } from "./TaskMix.js";

/** Load and fault of one load run. */
export interface Scenario {
    readonly name: string;
    /** Offered work relative to capacity, for each phase. */
    readonly phases: readonly { readonly load: number; readonly durationMs: number; }[];
    /** Jobs that arrive within this time from the start, in milliseconds, are left out of the times in the report. */
    readonly warmupMs: number;
    readonly mix: TaskMix;
    /** Deadline of every job in milliseconds. */
    readonly deadlineMs: number;
    readonly injection: InjectedFault;
    /** Time of the fault in milliseconds from the start. */
    readonly injectAtMs: number;
}
