/** Mutable state of one team at the scheduler. */
export interface TeamEntry {
    readonly name: string;
    weight: number;
    queued: number;
    running: number;
    /** Expected work not yet started, in milliseconds. */
    queuedMs: number;
    /** The same work by the whole part of its job's order key. */
    readonly workByKey: Map<number, number>;
}
