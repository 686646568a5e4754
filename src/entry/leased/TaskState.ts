/** State of one task of an open job, as its entry knows it. */
export const TaskState = {
    /** Steps that it depends on are not done yet. */
    Blocked: "blocked",
    /** Waits for an endpoint with enough free capacity. */
    Ready: "ready",
    /** Sent to an agent. */
    Placed: "placed",
    /** Its agent was lost; the run has certainly ended `LEASE_TIMES.LOST_RUN_EXPIRY_MS` later. */
    Unknown: "unknown",
    Done: "done",
} as const;

export type TaskState = typeof TaskState[keyof typeof TaskState];
