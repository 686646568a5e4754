import type { TaskEntry } from "./TaskEntry.js";
import type { TaskGroup } from "./TaskGroup.js";
import type { TeamEntry } from "./TeamEntry.js";

/** Mutable state of one job at the scheduler. */
export interface JobEntry {
    readonly id: string;
    readonly team: TeamEntry;
    readonly group: TaskGroup;
    readonly enqueuedAt: number;
    readonly deadlineAt: number;
    /** Tasks that have not ended, by index. */
    readonly tasks: Map<number, TaskEntry>;
    /** Queued tasks by size class, in ascending order of expected time. */
    readonly lanes: readonly TaskEntry[][];
    /** Tasks in phase queued or waiting. */
    queued: number;
    /** Expected work not yet started, in milliseconds. */
    queuedMs: number;
    key: number;
    /** Goes before other jobs of its team, because it would miss its deadline otherwise. */
    urgent: boolean;
    /** Part of `queuedMs` that its team counts under the present key. */
    rankedMs: number;
    /** The whole job was withdrawn: running tasks are not queued again. */
    withdrawn: boolean;
}
