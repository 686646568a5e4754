import type { Resources } from "./Resources.js";

/** Tasks of a job with the same requirements, which may run concurrently. */
export interface Step {
    readonly count: number;
    /** Resource request of each task. */
    readonly need: Resources;
    /** Declared run time of a task in milliseconds; often inaccurate. */
    readonly estimateMs: number;
    /** Numbers of earlier steps, all of whose tasks must be done first. */
    readonly after: readonly number[];
    /** Label that the endpoint must have. */
    readonly requiredLabel: string | undefined;
    /** Rack that holds the data; tasks run slower on other racks. */
    readonly preferredRack: string | undefined;
    /** Maximum number of tasks of the step on one endpoint; 0 for no limit. */
    readonly maxPerEndpoint: number;
}
