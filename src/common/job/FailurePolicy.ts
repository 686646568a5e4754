/** What happens to the remaining tasks of a job after one of them has failed permanently. */
export const FailurePolicy = {
    /** Tasks not yet started are not run. */
    Stop: "stop",
    /** The remaining tasks still run. */
    Continue: "continue",
} as const;

export type FailurePolicy = typeof FailurePolicy[keyof typeof FailurePolicy];
