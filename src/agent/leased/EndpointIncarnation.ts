/** One incarnation of the endpoint on an agent's VM, from its start to its end. */
export interface EndpointIncarnation {
    /** Identifies the endpoint in calls; an endpoint that restarts may keep its id. */
    readonly id: string;
    /** Start time in milliseconds since 1970; distinguishes incarnations with the same id. */
    readonly bornMs: number;
}
