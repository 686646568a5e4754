import type { QueuedTask } from "./QueuedTask.js";
import type { SizeClass } from "./SizeClass.js";

/** Estimates of run times: declared sizes, corrected by observed run times. */
export interface SizeEstimates {
    /** Shortest observed run time in milliseconds; 0 while unknown. */
    readonly shortestObservedMs: number;
    /** Expected run time in milliseconds on an agent of average speed. */
    expectedMs(task: QueuedTask): number;
    /**
     * Geometric mean of the run time, which a few tasks that run many times longer than declared hardly move. The size
     * class follows from it; the amount of work follows from the expected run time.
     */
    typicalMs(task: QueuedTask): number;
    /** 99th percentile of the run times of a size class in milliseconds. */
    p99Ms(sizeClass: SizeClass): number;
    /** Learns from the run time of a task that succeeded. */
    observe(task: QueuedTask, runMs: number): void;
}
