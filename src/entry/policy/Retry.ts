/** Decides whether and when an attempt that may be repeated is repeated. */
export interface Retry {
    /** Records a first start, which earns retry budget. */
    started(): void;
    /** Delay in milliseconds before the next attempt after the task's n-th failure, or undefined for no retry. */
    afterFailure(failures: number): number | undefined;
    /** Delay before the next attempt after the n-th refusal by an agent for reasons of its own; costs no budget. */
    afterRefusal(refusals: number): number;
}
