/** A started role: entry, agent, platform or endpoint. Each has a static `start(settings, runtime)`. */
export interface RunningRole {
    /**
     * Stops accepting work, waits at most `limitMs` for the work in progress, and returns one line for each piece of
     * work that has not finished by then.
     */
    drain(limitMs: number): Promise<readonly string[]>;
    /** Releases sockets and timers at once. */
    dispose(): Promise<void>;
}
