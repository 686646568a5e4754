import type { ScheduledJob } from "./ScheduledJob.js";

interface JobAgents {
    readonly agents: ReadonlySet<string>;
    openTasks: number;
}

/** Agents that may run the tasks of each open job; a job is removed when the last of its tasks has ended. */
export class EligibleAgents {
    private readonly jobs = new Map<string, JobAgents>();

    public get size(): number {
        return this.jobs.size;
    }

    public add(job: ScheduledJob): void {
        this.jobs.set(job.job, { agents: job.agents, openTasks: job.tasks.length });
    }

    public get(job: string): ReadonlySet<string> | undefined {
        return this.jobs.get(job)?.agents;
    }

    /** Records that a task of the job has ended. */
    public endTask(job: string): void {
        const entry = this.jobs.get(job);
        if (entry !== undefined) {
            entry.openTasks -= 1;
            if (entry.openTasks === 0) {
                this.jobs.delete(job);
            }
        }
    }
}
