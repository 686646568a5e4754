/** One life of the endpoint beside an agent. */
export interface EndpointIncarnation {
    /** Names the life in calls; an endpoint that starts again may keep it. */
    readonly id: string;
    /** Start of the life in milliseconds since 1970; tells two lives of one id apart. */
    readonly bornMs: number;
}
