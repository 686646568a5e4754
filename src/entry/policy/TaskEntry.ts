import type { AgentEntry } from "./AgentEntry.js";
import type { JobEntry } from "./JobEntry.js";
import type { QueuedTask } from "./QueuedTask.js";
import type { SizeClass } from "./SizeClass.js";
import type { TaskPhase } from "./TaskPhase.js";

/** Mutable state that the scheduler keeps of one task. */
export interface TaskEntry {
    readonly job: JobEntry;
    task: QueuedTask;
    /** Expected run time on an agent of average speed, in milliseconds. */
    expectedMs: number;
    sizeClass: SizeClass;
    phase: TaskPhase;
    /** Agent of the present or last attempt. */
    agent: AgentEntry | undefined;
    startedAt: number;
    failures: number;
    refusals: number;
    /** Whether the task was withdrawn while it was running, so that it is not queued again. */
    withdrawn: boolean;
}
