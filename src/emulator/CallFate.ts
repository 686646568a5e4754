/** What happens to one call to an emulated endpoint. */
export const CallFate = {
    Answered: "answered",
    /** Carried out, but the answer is lost. */
    AnswerLost: "answer_lost",
    /** Neither carried out nor answered. */
    Lost: "lost",
    /** Carried out later and not answered. */
    Late: "late",
    /** Not carried out; the connection is reset after a round trip. */
    BrokenOff: "broken_off",
    /** Carried out, but the connection is reset in place of the answer. */
    AnswerBrokenOff: "answer_broken_off",
} as const;

export type CallFate = typeof CallFate[keyof typeof CallFate];
