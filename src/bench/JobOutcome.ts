/** Outcome of a job in a load run. */
export const JobOutcome = {
    Complete: "complete",
    /** Answered as failed after it was accepted. */
    Failed: "failed",
    /** Refused with verdict `not_run`. */
    Refused: "refused",
    /** No answer within the deadline and a grace period. */
    Lost: "lost",
} as const;

export type JobOutcome = typeof JobOutcome[keyof typeof JobOutcome];
