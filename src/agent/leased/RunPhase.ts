/** Phase of a run at its agent. */
export const RunPhase = {
    /** Waits for room. */
    Waiting: "waiting",
    /** A start was sent and not answered yet. */
    Starting: "starting",
    Running: "running",
    /** A stop is sent again until the end is known. */
    Stopping: "stopping",
} as const;

export type RunPhase = typeof RunPhase[keyof typeof RunPhase];
