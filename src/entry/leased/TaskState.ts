/** State of one task of a job at its entry. */
export const TaskState = {
    /** Earlier steps are not done yet. */
    Blocked: "blocked",
    /** Waits for an endpoint with room. */
    Ready: "ready",
    /** Ordered from an agent. */
    Placed: "placed",
    /** Its agent was lost; the run ends by itself within a known time. */
    Unknown: "unknown",
    Done: "done",
} as const;

export type TaskState = typeof TaskState[keyof typeof TaskState];
