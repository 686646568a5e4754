/** Job of a trial, with the true run times, which the scheduler does not get to see. */
export interface TrialJob {
    readonly id: string;
    readonly team: string;
    readonly at: number;
    readonly deadlineMs: number;
    readonly tasks: readonly {
        /** Run time on an agent with factor 1, in milliseconds. */
        readonly runMs: number;
        readonly declaredMs: number | undefined;
    }[];
}
