import type { LeasedJob } from "./LeasedJob.js";
import { TaskState } from "./TaskState.js";

/** Whether a job has tasks that wait for an endpoint. */
export function isReady(job: LeasedJob): boolean {
    return job.tasks.some(task => task.state === TaskState.Ready);
}
