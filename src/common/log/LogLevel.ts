/** Severity of a log event. */
export const LogLevel = {
    Debug: "debug",
    Info: "info",
    Warn: "warn",
    Error: "error",
} as const;

export type LogLevel = typeof LogLevel[keyof typeof LogLevel];
