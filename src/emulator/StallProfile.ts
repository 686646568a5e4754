import type { TimeRange } from "./TimeRange.js";

/** Processes that stand still, and processes that are always late. */
export interface StallProfile {
    /** Share of the submission steps after which one process, or a group of them, stalls. */
    readonly share: number;
    readonly duration: TimeRange;
    /** Largest number of processes that stall together. */
    readonly mostInGroup: number;
    /** Largest number of callbacks that a process runs before it stalls. */
    readonly mostCallbacksBefore: number;
    /** Share of the callers of a stalled entry that disconnect meanwhile. */
    readonly impatientShare: number;
    /** Share of the processes whose turns of the event loop last for `turn`; those of the others take no time. */
    readonly lateShare: number;
    readonly turn: TimeRange;
}
