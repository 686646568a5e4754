import type { Injection } from "./Injection.js";
import type { TaskMix } from "./TaskMix.js";

/** Course of one load run. */
export interface Scenario {
    readonly name: string;
    /** Offered work relative to capacity, phase by phase. */
    readonly phases: readonly { readonly load: number; readonly durationMs: number; }[];
    /** Time during which results are not counted, in milliseconds from the start. */
    readonly warmupMs: number;
    readonly mix: TaskMix;
    /** Deadline of every job in milliseconds. */
    readonly deadlineMs: number;
    readonly injection: Injection;
    /** Time of the fault in milliseconds from the start. */
    readonly injectAtMs: number;
}
