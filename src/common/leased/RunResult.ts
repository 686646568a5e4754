/** How a run of a task ended, or why it never began. */
export const RunResult = {
    Done: "done",
    /** The task or its endpoint failed. */
    Failed: "failed",
    /** Stopped by an order, or its lease lapsed; the task may run again. */
    Stopped: "stopped",
    /** Never began and never will. */
    NotStarted: "not_started",
    /** Stopped, because another entry has ordered the same task: the job was submitted again there. */
    Superseded: "superseded",
    /** Never began: the endpoint refuses work. */
    Refused: "refused",
} as const;

export type RunResult = typeof RunResult[keyof typeof RunResult];
