/** Task that waits for a slot at its home entry. Times are in milliseconds of the entry's clock. */
export interface QueuedTask {
    /** Key of the job within this entry. */
    readonly job: string;
    readonly task: number;
    /** Number of the attempt, from 1. */
    readonly attempt: number;
    readonly team: string;
    readonly declaredMs: number | undefined;
    readonly repeatable: boolean;
    readonly enqueuedAt: number;
    readonly deadlineAt: number;
}
