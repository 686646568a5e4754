/** Where a task is between admission and its end. */
export const TaskPhase = {
    Queued: "queued",
    /** Waits for the back-off before its next attempt. */
    Waiting: "waiting",
    Running: "running",
    Ended: "ended",
} as const;

export type TaskPhase = typeof TaskPhase[keyof typeof TaskPhase];
