/** Source of monotonic time in milliseconds. Times can be compared only within one process. */
export interface Clock {
    /** Returns the current time in milliseconds; it never moves back. */
    now(): number;
    /** Runs `callback` once after `delayMs` milliseconds; the returned function cancels it. */
    schedule(delayMs: number, callback: () => void): () => void;
    /**
     * Returns the wall-clock time in milliseconds. It may jump, but it includes the time for which the machine was
     * suspended. Undefined on a clock that cannot be suspended, such as a virtual one.
     */
    wallTime?(): number;
}
