import type { LeasedJob } from "./LeasedJob.js";
import { TaskState } from "./TaskState.js";

/** Makes blocked tasks ready when all steps that they depend on are done; returns whether there were any. */
export function unblockTasks(job: LeasedJob): boolean {
    const open = new Set(job.tasks.filter(task => task.state !== TaskState.Done).map(task => task.step));
    let unblocked = false;
    for (const task of job.tasks) {
        const after = job.submission.steps[task.step]?.after ?? [];
        if (task.state === TaskState.Blocked && !after.some(step => open.has(step))) {
            task.state = TaskState.Ready;
            unblocked = true;
        }
    }
    return unblocked;
}
