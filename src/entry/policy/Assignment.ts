import type { QueuedTask } from "./QueuedTask.js";

/** Decision to start a task on an agent now. */
export interface Assignment {
    readonly task: QueuedTask;
    readonly agent: string;
    /** Short reason of the decision for its log line, such as `fastest of 7 free`. */
    readonly reason: string;
}
