import type { Outcome } from "./Outcome.js";

/** Record that an agent keeps of the latest attempt of one task. */
export interface TaskRecord {
    readonly task: number;
    readonly attempt: number;
    /** Absent while the task is running. */
    readonly outcome?: Outcome | undefined;
}
