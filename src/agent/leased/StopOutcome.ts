/** How an endpoint answered a stop. */
export const StopOutcome = {
    /** The run ends within the stop time, or will never begin. */
    Taken: "taken",
    Fenced: "fenced",
    OtherLife: "other_life",
    Unanswered: "unanswered",
    Unreachable: "unreachable",
} as const;

export type StopOutcome = typeof StopOutcome[keyof typeof StopOutcome];
