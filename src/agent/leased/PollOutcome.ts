/** How an endpoint answered a poll of its run list. */
export const PollOutcome = {
    Listed: "listed",
    Fenced: "fenced",
    OtherIncarnation: "other_life",
    Unanswered: "unanswered",
    Unreachable: "unreachable",
} as const;

export type PollOutcome = typeof PollOutcome[keyof typeof PollOutcome];
