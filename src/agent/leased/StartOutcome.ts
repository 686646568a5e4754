/** How an endpoint answered a start. */
export const StartOutcome = {
    /** The run is at the endpoint. */
    Started: "started",
    /** The endpoint has seen a higher fence; nothing was done. */
    Fenced: "fenced",
    /** A run with this number or a higher one was stopped or has ended there. */
    Stale: "old",
    /** The time until which the start may take effect has passed. */
    Late: "late",
    NoRoom: "no_room",
    /** Another incarnation of the endpoint answered than the one that was meant. */
    OtherIncarnation: "other_life",
    /** The endpoint accepts no work; nothing was done. */
    Unhealthy: "unhealthy",
    /** The endpoint rejected the start as invalid. */
    Invalid: "invalid",
    /** No response; the start may still take effect until its time limit. */
    Unanswered: "unanswered",
    /** The connection was refused; nothing was done. */
    Unreachable: "unreachable",
} as const;

export type StartOutcome = typeof StartOutcome[keyof typeof StartOutcome];
