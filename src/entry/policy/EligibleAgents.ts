import type { ScheduledJob } from "./ScheduledJob.js";

interface Entry {
    readonly agents: ReadonlySet<string>;
    tasks: number;
}

/** Agents that may run the tasks of each job, kept until the last of its tasks has ended. */
export class EligibleAgents {
    private readonly jobs = new Map<string, Entry>();

    public get size(): number {
        return this.jobs.size;
    }

    public add(job: ScheduledJob): void {
        this.jobs.set(job.job, { agents: job.agents, tasks: job.tasks.length });
    }

    public get(job: string): ReadonlySet<string> | undefined {
        return this.jobs.get(job)?.agents;
    }

    /** Records that a task of the job has ended. */
    public endTask(job: string): void {
        const entry = this.jobs.get(job);
        if (entry !== undefined) {
            entry.tasks -= 1;
            if (entry.tasks === 0) {
                this.jobs.delete(job);
            }
        }
    }
}
