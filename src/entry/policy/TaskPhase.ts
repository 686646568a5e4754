/** Phase of a task between admission and its end. */
export const TaskPhase = {
    Queued: "queued",
    /** Waits until the back-off before its next attempt is over. */
    Waiting: "waiting",
    Running: "running",
    Ended: "ended",
} as const;

export type TaskPhase = typeof TaskPhase[keyof typeof TaskPhase];
