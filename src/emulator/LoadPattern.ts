/** Load of one simulation: kinds of jobs, their arrival rate, and the speeds of the endpoints. */
export interface LoadPattern {
    readonly entries: number;
    /** Number of callers, each of which uses one randomly drawn entry; if absent, the load is even over the entries. */
    readonly callers?: number;
    readonly lengthMs: number;
    /** Slowdown factor of each endpoint: its run time over the nominal run time. */
    readonly slowness: readonly number[];
    /** Offered load relative to the capacity of all endpoints, at `atMs` from the start. */
    readonly utilisation: (atMs: number) => number;
    readonly kinds: readonly JobKind[];
}

/** Kind of jobs in a load. */
interface JobKind {
    /** Weight among the arrivals; the weights need not add up to 1. */
    readonly share: number;
    readonly tasks: number;
    /** 0 is the most urgent. */
    readonly priority: number;
    /** Median run time of a task at a slowdown factor of 1. */
    readonly medianMs: number;
    /** Value of a response within the latency target; a late one has a fifth of it. */
    readonly worth: number;
}
