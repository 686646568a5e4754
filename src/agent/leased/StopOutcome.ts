/** How an endpoint answered a stop. */
export const StopOutcome = {
    /** The run ends within the stop time, or will never begin. */
    Accepted: "taken",
    Fenced: "fenced",
    OtherIncarnation: "other_life",
    Unanswered: "unanswered",
    Unreachable: "unreachable",
} as const;

export type StopOutcome = typeof StopOutcome[keyof typeof StopOutcome];
