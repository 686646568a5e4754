/** Estimated run time at each agent relative to the average of the service: 1 is average, 2 takes twice as long. */
export interface SpeedEstimates {
    ratio(agent: string): number;
    /** Learns from the run time of a task that succeeded on the agent, given its expected run time. */
    observe(agent: string, expectedMs: number, runMs: number): void;
    forget(agent: string): void;
}
