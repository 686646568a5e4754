/** What happens to one call to an emulated endpoint. */
export const CallDelivery = {
    Answered: "answered",
    /** Carried out, but the answer is lost. */
    AnswerLost: "answer_lost",
    /** Neither carried out nor answered. */
    Lost: "lost",
    /** Carried out later and not answered. */
    Delayed: "late",
    /** Not carried out; the connection is reset after a round trip. */
    ConnectionReset: "broken_off",
    /** Carried out, but the connection is reset in place of the answer. */
    AnswerReset: "answer_broken_off",
} as const;

export type CallDelivery = typeof CallDelivery[keyof typeof CallDelivery];
