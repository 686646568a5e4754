import type { Resources } from "./Resources.js";

/** Tasks of a job that are alike and may run side by side. */
export interface Step {
    readonly count: number;
    /** What each task occupies. */
    readonly need: Resources;
    /** Declared run time of a task in milliseconds; often far off. */
    readonly estimateMs: number;
    /** Numbers of earlier steps whose tasks must all be done first. */
    readonly after: readonly number[];
    /** Label that the endpoint must have. */
    readonly requiredLabel: string | undefined;
    /** Rack that holds the data; other racks are slower. */
    readonly preferredRack: string | undefined;
    /** Most tasks of the step on one endpoint; 0 for no limit. */
    readonly maxPerEndpoint: number;
}
