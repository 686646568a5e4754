import type { LeasedJob } from "./LeasedJob.js";
import { TaskState } from "./TaskState.js";

/** Whether any task of the job waits for an endpoint. */
export function hasReadyTask(job: LeasedJob): boolean {
    return job.tasks.some(task => task.state === TaskState.Ready);
}
