/** How a job of a load run ended. */
export const JobOutcome = {
    Complete: "complete",
    /** Answered as failed after it was accepted. */
    Failed: "failed",
    /** Refused with verdict `not_run`. */
    Refused: "refused",
    /** No answer within the deadline and its grace time. */
    Lost: "lost",
} as const;

export type JobOutcome = typeof JobOutcome[keyof typeof JobOutcome];
