/** Rank of a job among the jobs of its team and class; the smallest key goes first. */
export interface Order {
    /** Key for a job with `queuedMs` of expected work not yet started; it must not depend on the present time. */
    key(queuedMs: number, enqueuedAt: number): number;
}
