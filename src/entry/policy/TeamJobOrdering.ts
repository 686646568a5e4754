/** Sort order of the jobs within a team and size class; the smallest key goes first. */
export interface TeamJobOrdering {
    /** Key of a job with `queuedMs` of expected work not yet started; it must not depend on the present time. */
    key(queuedMs: number, enqueuedAt: number): number;
}
