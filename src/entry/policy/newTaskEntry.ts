import type { JobEntry } from "./JobEntry.js";
import type { QueuedTask } from "./QueuedTask.js";
import { sizeClassOf } from "./sizeClassOf.js";
import type { Sizes } from "./Sizes.js";
import type { TaskEntry } from "./TaskEntry.js";
import { TaskPhase } from "./TaskPhase.js";

/** Expected times err by this factor even for right declarations, so that tasks just over a limit keep the class. */
const CLASS_TOLERANCE = 1.5;

/** Creates the state of a task that has just been queued. */
export function newTaskEntry(job: JobEntry, task: QueuedTask, sizes: Sizes): TaskEntry {
    return {
        job,
        task,
        expectedMs: sizes.expectedMs(task),
        sizeClass: sizeClassOf(sizes.typicalMs(task) / CLASS_TOLERANCE),
        phase: TaskPhase.Queued,
        agent: undefined,
        startedAt: 0,
        failures: 0,
        refusals: 0,
        withdrawn: false,
    };
}
