/** Task of a load run. Times are nominal milliseconds: the run time on a worker of speed 1. */
export interface PlannedTask {
    readonly runMs: number;
    /** What the caller declares; often far off. */
    readonly declaredMs: number;
    readonly repeatable: boolean;
}
