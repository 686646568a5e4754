/** How an endpoint answered a start. */
export const StartOutcome = {
    /** The run is there. */
    Started: "started",
    /** A call with a higher fence was seen; nothing was done. */
    Fenced: "fenced",
    /** A run with this number or a higher one was stopped or has ended there. */
    Stale: "old",
    /** The time until which the start may take effect has passed. */
    Late: "late",
    NoRoom: "no_room",
    /** The endpoint is another life than the one meant. */
    OtherIncarnation: "other_life",
    /** The endpoint takes no work; nothing was done. */
    Unhealthy: "unhealthy",
    /** The endpoint rejects the order itself. */
    Invalid: "invalid",
    /** Nothing answered; the start may still take effect before its time has passed. */
    Unanswered: "unanswered",
    /** The connection was refused; nothing was done. */
    Unreachable: "unreachable",
} as const;

export type StartOutcome = typeof StartOutcome[keyof typeof StartOutcome];
