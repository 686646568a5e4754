import type { JobClass } from "./JobClass.js";
import type { PlannedTask } from "./PlannedTask.js";

/** Planned job of a load run. */
export interface PlannedJob {
    readonly index: number;
    /** Arrival in milliseconds from the start of the run. */
    readonly at: number;
    readonly team: string;
    readonly jobClass: JobClass;
    readonly tasks: readonly PlannedTask[];
}
