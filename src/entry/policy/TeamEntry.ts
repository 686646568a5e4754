/** Mutable state that the scheduler keeps of one team. */
export interface TeamEntry {
    readonly name: string;
    weight: number;
    queued: number;
    running: number;
    /** Expected work not yet started, in milliseconds. */
    queuedMs: number;
    /** The same work, summed by the integer part of the key that its job is ordered by. */
    readonly workByKey: Map<number, number>;
}
