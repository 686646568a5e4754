/** Mutable state of one team at the scheduler. */
export interface TeamEntry {
    readonly name: string;
    weight: number;
    queued: number;
    running: number;
    /** Expected work not yet started, in milliseconds. */
    queuedMs: number;
}
