/** Load of one play: kinds of jobs, how many arrive, and how the endpoints differ. */
export interface LoadPattern {
    readonly entries: number;
    /** Number of callers, each of which stays at one entry that a hash has chosen; even load where it is absent. */
    readonly callers?: number;
    readonly lengthMs: number;
    /** Time over declared time of each endpoint; 1 is the declared speed. */
    readonly slowness: readonly number[];
    /** Offered work over the work that all endpoints can do, at `atMs` from the start. */
    readonly utilisation: (atMs: number) => number;
    readonly kinds: readonly JobKind[];
}

/** Kind of job in a load. */
interface JobKind {
    /** Share of the arrivals. */
    readonly share: number;
    readonly tasks: number;
    /** 0 is the most urgent. */
    readonly priority: number;
    /** Mean run time of a task at the declared speed. */
    readonly meanMs: number;
    /** Value of an answer within the target; a late one is worth a fifth of it. */
    readonly worth: number;
}
