/** What happens to the rest of a job after one of its tasks has failed for good. */
export const FailurePolicy = {
    /** Tasks not yet started are not run. */
    Stop: "stop",
    /** The remaining tasks still run. */
    Continue: "continue",
} as const;

export type FailurePolicy = typeof FailurePolicy[keyof typeof FailurePolicy];
