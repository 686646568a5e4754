/** Kind of job in a trial. Its number of tasks and its run times are drawn log-uniformly between the bounds. */
export interface JobKind {
    readonly team: string;
    /** Relative frequency. */
    readonly weight: number;
    readonly tasks: readonly [number, number];
    readonly runMs: readonly [number, number];
}
