/** Faults that the endpoint stand-in injects; they may be changed while it runs. */
export interface Faults {
    /** Run times are divided by it. */
    speed: number;
    /** Share of tasks that fail with status 500. */
    failureShare: number;
    /** Share of tasks that are never answered. */
    silentShare: number;
    /** Share of tasks that run `stragglerFactor` times longer. */
    stragglerShare: number;
    stragglerFactor: number;
}
