/** State of a job as callers see it. */
export const JobState = {
    Running: "running",
    Complete: "complete",
    Failed: "failed",
} as const;

export type JobState = typeof JobState[keyof typeof JobState];
