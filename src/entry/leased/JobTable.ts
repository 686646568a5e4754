import type { JobOutcome } from "./JobOutcome.js";
import type { LeasedJob } from "./LeasedJob.js";
import type { LeasedTask } from "./LeasedTask.js";

/** Answers that are kept for callers that submit again after the end. */
const MAX_KEPT_ANSWERS = 2000;

/** Task of an open job. */
interface OpenTask {
    readonly job: LeasedJob;
    readonly task: LeasedTask;
}

/** Open jobs of an entry with their tasks, and the answers of those that ended lately. */
export class JobTable {
    private readonly jobs = new Map<string, LeasedJob>();
    private readonly tasks = new Map<string, OpenTask>();
    private readonly answers = new Map<string, JobOutcome>();

    /** Open jobs in the order of their arrival; the list does not change with the table. */
    public get all(): readonly LeasedJob[] {
        return [...this.jobs.values()];
    }

    public get size(): number {
        return this.jobs.size;
    }

    public get(id: string): LeasedJob | undefined {
        return this.jobs.get(id);
    }

    /** Whether `job` is still open. */
    public holds(job: LeasedJob): boolean {
        return this.jobs.get(job.order.id) === job;
    }

    public findTask(name: string): OpenTask | undefined {
        return this.tasks.get(name);
    }

    /** Answer of a job that was completed or has failed lately. */
    public answerOf(id: string): JobOutcome | undefined {
        return this.answers.get(id);
    }

    public add(job: LeasedJob): void {
        this.jobs.set(job.order.id, job);
        job.tasks.forEach(task => this.tasks.set(task.name, { job, task }));
    }

    /** Removes a job that is answered. A refused job may be submitted again, so its answer is not kept. */
    public end(job: LeasedJob, outcome: JobOutcome): void {
        this.jobs.delete(job.order.id);
        job.tasks.forEach(task => this.tasks.delete(task.name));
        if (outcome.kind !== "refused") {
            this.keep(job.order.id, outcome);
        }
    }

    private keep(id: string, outcome: JobOutcome): void {
        this.answers.set(id, outcome);
        const oldest = this.answers.keys().next().value;
        if (this.answers.size > MAX_KEPT_ANSWERS && oldest !== undefined) {
            this.answers.delete(oldest);
        }
    }
}
