/** How an endpoint answered a look at its run list. */
export const LookOutcome = {
    Listed: "listed",
    Fenced: "fenced",
    OtherLife: "other_life",
    Unanswered: "unanswered",
    Unreachable: "unreachable",
} as const;

export type LookOutcome = typeof LookOutcome[keyof typeof LookOutcome];
