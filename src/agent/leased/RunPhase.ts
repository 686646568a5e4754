/** Phase of a run at its agent. */
export const RunPhase = {
    /** Waits for free capacity. */
    Waiting: "waiting",
    /** A start was sent and not answered yet. */
    Starting: "starting",
    Running: "running",
    /** Stops are sent until the run is known to have ended. */
    Stopping: "stopping",
} as const;

export type RunPhase = typeof RunPhase[keyof typeof RunPhase];
