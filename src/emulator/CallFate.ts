/** What happens to one call to an emulated endpoint. */
export const CallFate = {
    Answered: "answered",
    /** Carried out, but the answer is lost. */
    AnswerLost: "answer_lost",
    /** Neither carried out nor answered. */
    Lost: "lost",
    /** Carried out seconds later and not answered. */
    Late: "late",
} as const;

export type CallFate = typeof CallFate[keyof typeof CallFate];
