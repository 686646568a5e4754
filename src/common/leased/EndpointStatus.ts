import type { Resources } from "./Resources.js";

/** What an agent tells entries of the endpoint beside it. */
export interface EndpointStatus {
    readonly service: string;
    /** Identity of one life of the endpoint. */
    readonly endpoint: string;
    /** The kind of its machine comes first. */
    readonly labels: readonly string[];
    readonly capacity: Resources;
    /** Occupied by runs that have begun, and by orders that wait at the agent. */
    readonly used: Resources;
    /** False while the endpoint drains or refuses work, or the agent stops. */
    readonly accepting: boolean;
    /** Observed run time over declared run time of recent tasks; 1 is the declared speed. */
    readonly slowness: number;
    /** Clock of the endpoint in milliseconds, at most as late as it really is. */
    readonly clockMs: number;
}
