/** What the holder of a token may do. */
export const CallerRole = {
    /** Submits jobs for its team. */
    Caller: "caller",
    /** Also reads and changes its team's configuration section. */
    Operator: "operator",
    /** Also drains processes and sees every team. */
    Admin: "admin",
} as const;

export type CallerRole = typeof CallerRole[keyof typeof CallerRole];
