/** Decides whether and when a task that may be tried again gets another attempt. */
export interface Retry {
    /** Records the first start of a task, which adds to the retry budget. */
    recordFirstStart(): void;
    /** Delay in milliseconds before the next attempt after the n-th failure of a task, or undefined for no retry. */
    afterFailure(failures: number): number | undefined;
    /** Delay in milliseconds after the n-th refusal for reasons unrelated to the task; uses no budget. */
    afterRefusal(refusals: number): number;
}
