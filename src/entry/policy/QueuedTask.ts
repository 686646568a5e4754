/** Task that waits at its home entry for a slot. Times are milliseconds of the entry's clock. */
export interface QueuedTask {
    /** Identity of the job within this entry. */
    readonly job: string;
    readonly task: number;
    /** From 1. */
    readonly attempt: number;
    readonly team: string;
    readonly declaredMs: number | undefined;
    readonly repeatable: boolean;
    readonly enqueuedAt: number;
    readonly deadlineAt: number;
}
