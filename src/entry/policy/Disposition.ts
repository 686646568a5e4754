/** What happens to a task after one of its attempts has ended. */
export const Disposition = {
    /** The attempt's result is the task's result. */
    Final: "final",
    /** The scheduler has queued the task again, with the next attempt number. */
    Requeued: "requeued",
} as const;

export type Disposition = typeof Disposition[keyof typeof Disposition];
