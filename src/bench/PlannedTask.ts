/** Planned task of a load run. Run times are nominal: milliseconds on a worker of speed 1. */
export interface PlannedTask {
    readonly runMs: number;
    /** Run time that the caller declares, which is often far off. */
    readonly declaredMs: number;
    readonly repeatable: boolean;
}
