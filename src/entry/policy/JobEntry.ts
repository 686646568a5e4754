import type { TaskEntry } from "./TaskEntry.js";
import type { TaskGroup } from "./TaskGroup.js";
import type { TeamEntry } from "./TeamEntry.js";

/** Mutable state that the scheduler keeps of one open job. */
export interface JobEntry {
    readonly id: string;
    readonly team: TeamEntry;
    readonly group: TaskGroup;
    readonly enqueuedAt: number;
    readonly deadlineAt: number;
    /** Tasks that have not ended, by index. */
    readonly tasks: Map<number, TaskEntry>;
    /** Queued tasks by size class; in ascending order of expected run time when the job is added. */
    readonly lanes: readonly TaskEntry[][];
    /** Tasks in phase queued or waiting. */
    queued: number;
    /** Expected work not yet started, in milliseconds. */
    queuedMs: number;
    key: number;
    /** Whether the job goes before other jobs of its team, because it would miss its deadline otherwise. */
    urgent: boolean;
    /** Work that is included in the team's `workByKey` under the present key. */
    countedMs: number;
    /** Whether the whole job was withdrawn, so that its running tasks are not queued again. */
    withdrawn: boolean;
}
