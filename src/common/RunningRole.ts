/** A started role: entry, agent, platform or endpoint. Each has a static `start(settings, runtime)`. */
export interface RunningRole {
    /**
     * Stops taking work, waits until work in progress has ended or `limitMs` has passed, and returns one line for each
     * piece of work that was left.
     */
    drain(limitMs: number): Promise<readonly string[]>;
    /** Releases sockets and timers at once. */
    dispose(): Promise<void>;
}
