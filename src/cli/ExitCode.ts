/** Exit codes of the command line. */
export const ExitCode = {
    Success: 0,
    /** The job failed, the command was refused, or a role stopped with work in progress. */
    Failure: 1,
    /** Wrong usage or invalid settings; nothing was done. */
    Usage: 2,
} as const;

export type ExitCode = typeof ExitCode[keyof typeof ExitCode];
