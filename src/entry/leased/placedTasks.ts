import type { LeasedJob } from "./LeasedJob.js";
import { TaskState } from "./TaskState.js";

/** Returns the names of the tasks of a job in state `placed`, by agent. */
export function placedTasks(job: LeasedJob): ReadonlyMap<string, readonly string[]> {
    const byAgent = new Map<string, string[]>();
    for (const { name, state, agent } of job.tasks) {
        if (state === TaskState.Placed && agent !== undefined) {
            const names = byAgent.get(agent) ?? [];
            names.push(name);
            byAgent.set(agent, names);
        }
    }
    return byAgent;
}
