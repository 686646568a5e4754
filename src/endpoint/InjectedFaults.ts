/** Faults that the endpoint stub injects; they may be changed while it runs. */
export interface InjectedFaults {
    /** Divisor of run times. */
    speed: number;
    /** Share of tasks that fail with status 500. */
    failureShare: number;
    /** Share of tasks that are never answered. */
    silentShare: number;
    /** Share of tasks that run `stragglerFactor` times longer. */
    stragglerShare: number;
    stragglerFactor: number;
}
