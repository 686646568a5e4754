import type { JobEntry } from "./JobEntry.js";
import type { QueuedTask } from "./QueuedTask.js";
import { sizeClassOf } from "./sizeClassOf.js";
import type { SizeEstimates } from "./SizeEstimates.js";
import type { TaskEntry } from "./TaskEntry.js";
import { TaskPhase } from "./TaskPhase.js";

/**
 * Run times differ from right declarations by up to this factor, so a task counts for the shorter class if it is no
 * further than that above the limit.
 */
const CLASS_TOLERANCE = 1.5;

/** Creates the state of a newly queued task. */
export function newTaskEntry(job: JobEntry, task: QueuedTask, sizeEstimates: SizeEstimates): TaskEntry {
    return {
        job,
        task,
        expectedMs: sizeEstimates.expectedMs(task),
        sizeClass: sizeClassOf(sizeEstimates.typicalMs(task) / CLASS_TOLERANCE),
        phase: TaskPhase.Queued,
        agent: undefined,
        startedAt: 0,
        failures: 0,
        refusals: 0,
        withdrawn: false,
    };
}
