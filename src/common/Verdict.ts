/** Says whether a request may have run. A refusal with `NotRun` guarantees that nothing was started. */
export const Verdict = {
    NotRun: "not_run",
    MayHaveRun: "may_have_run",
    Ran: "ran",
} as const;

export type Verdict = typeof Verdict[keyof typeof Verdict];
