/** Run time of each agent relative to the service: 1 is average, 2 takes twice as long. */
export interface Speed {
    ratio(agent: string): number;
    /** Learns from a task that ran to its end on the agent, given its expected run time. */
    observe(agent: string, expectedMs: number, runMs: number): void;
    forget(agent: string): void;
}
