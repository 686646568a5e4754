/** How the emulated network delivers one call to an endpoint. */
export const CallDelivery = {
    Answered: "answered",
    /** Executed, but the response is lost. */
    AnswerLost: "answer_lost",
    /** Neither executed nor answered. */
    Lost: "lost",
    /** Executed after a delay and not answered. */
    Delayed: "late",
    /** Not executed; the connection is refused, as after the endpoint has closed its port. */
    Refused: "refused",
    /** Not executed; the connection is reset after one round trip. */
    ConnectionReset: "broken_off",
    /** Executed, but the connection is reset before the response. */
    AnswerReset: "answer_broken_off",
} as const;

export type CallDelivery = typeof CallDelivery[keyof typeof CallDelivery];
