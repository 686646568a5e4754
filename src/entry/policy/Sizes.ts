import type { QueuedTask } from "./QueuedTask.js";
import type { SizeClass } from "./SizeClass.js";

/** Expected run times, from declared sizes corrected by what was observed. */
export interface Sizes {
    /** Shortest observed run time in milliseconds; 0 while unknown. */
    readonly shortestMs: number;
    /** Expected run time in milliseconds on an agent of average speed. */
    expectedMs(task: QueuedTask): number;
    /**
     * Geometric mean of the run time, which a few tasks that run many times longer than declared do not move. It decides
     * the size class, and the expected run time decides how much work there is.
     */
    typicalMs(task: QueuedTask): number;
    /** Run time that a hundredth of the tasks of the class exceed, in milliseconds. */
    p99Ms(sizeClass: SizeClass): number;
    /** Learns from a task that ran to its end. */
    observe(task: QueuedTask, runMs: number): void;
}
