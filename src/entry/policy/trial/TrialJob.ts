/** Job of a trial with the run times that the scheduler must not see. */
export interface TrialJob {
    readonly id: string;
    readonly team: string;
    readonly at: number;
    readonly deadlineMs: number;
    readonly tasks: readonly {
        /** Run time on an agent of ratio 1, in milliseconds. */
        readonly runMs: number;
        readonly declaredMs: number | undefined;
    }[];
}
