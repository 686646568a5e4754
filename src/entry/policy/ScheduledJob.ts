import type { QueuedTask } from "./QueuedTask.js";

/** Job with all of its tasks, as it is submitted to the scheduler. */
export interface ScheduledJob {
    readonly job: string;
    readonly team: string;
    readonly deadlineAt: number;
    /** Ids of the agents that may run its tasks. */
    readonly agents: ReadonlySet<string>;
    readonly tasks: readonly QueuedTask[];
}
