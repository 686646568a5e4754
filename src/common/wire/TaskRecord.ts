import type { Outcome } from "./Outcome.js";

/** What an agent knows about the latest attempt of one task. */
export interface TaskRecord {
    readonly task: number;
    readonly attempt: number;
    /** Absent while the task is running. */
    readonly outcome?: Outcome | undefined;
}
