import type { Resources } from "./Resources.js";

/** Status of the endpoint beside an agent, as the agent reports it to entries. */
export interface EndpointStatus {
    readonly service: string;
    /** Id of the endpoint; one that starts again may keep it. */
    readonly endpoint: string;
    /** Names the incarnation of the endpoint; its clock starts again with each. Older agents do not report it. */
    readonly incarnation?: string | undefined;
    /** The first label is the machine type. */
    readonly labels: readonly string[];
    readonly capacity: Resources;
    /** Resources occupied by started runs, and by run orders that are queued at the agent. */
    readonly used: Resources;
    /** False while the endpoint is draining or refuses work, or the agent is stopping. */
    readonly accepting: boolean;
    /**
     * Slowdown factor: observed run time of recent tasks divided by their declared run time; 1 is the declared speed.
     */
    readonly slowness: number;
    /** Lower bound of the endpoint's clock, in milliseconds. */
    readonly clockMs: number;
}
