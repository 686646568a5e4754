/** Source of time. All times are milliseconds of a monotonic clock, so they only compare within one process. */
export interface Clock {
    /** Returns the current time in milliseconds; it never moves back. */
    now(): number;
    /** Runs `callback` once after `delayMs` milliseconds; the returned function cancels it. */
    schedule(delayMs: number, callback: () => void): () => void;
    /**
     * Returns the time of day in milliseconds, which may step, but counts the time for which the machine was suspended.
     * Absent where nothing can be suspended.
     */
    wallTime?(): number;
}
