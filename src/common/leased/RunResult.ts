/** How a run of a task ended, or why it did not begin. */
export const RunResult = {
    Done: "done",
    /** The task or its endpoint failed. */
    Failed: "failed",
    /** Stopped by an order, or because its lease expired; the task may run again. */
    Stopped: "stopped",
    /** Did not begin and never will. */
    NotStarted: "not_started",
    /** Stopped because another entry has ordered the same task: the job was submitted again to that entry. */
    Superseded: "superseded",
    /** Did not begin: the endpoint refuses work. */
    Refused: "refused",
} as const;

export type RunResult = typeof RunResult[keyof typeof RunResult];
