import type { JobOutcome } from "./JobOutcome.js";
import type { LeasedJob } from "./LeasedJob.js";
import type { LeasedTask } from "./LeasedTask.js";

/** Number of answers kept for callers that submit a job again after it has ended. */
const MAX_KEPT_ANSWERS = 2000;

/** Task of an open job. */
interface OpenTask {
    readonly job: LeasedJob;
    readonly task: LeasedTask;
}

/** Open jobs of an entry with their tasks, and the answers of jobs that completed or failed recently. */
export class JobTable {
    private readonly jobs = new Map<string, LeasedJob>();
    private readonly tasks = new Map<string, OpenTask>();
    private readonly answers = new Map<string, JobOutcome>();

    /** Snapshot of the open jobs in the order of their arrival. */
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
    public isOpen(job: LeasedJob): boolean {
        return this.jobs.get(job.submission.id) === job;
    }

    public findTask(name: string): OpenTask | undefined {
        return this.tasks.get(name);
    }

    /** Answer of a job that completed or failed recently. */
    public answerOf(id: string): JobOutcome | undefined {
        return this.answers.get(id);
    }

    public add(job: LeasedJob): void {
        this.jobs.set(job.submission.id, job);
        job.tasks.forEach(task => this.tasks.set(task.name, { job, task }));
    }

    /** Removes a job that has been answered. A refused job may be submitted again, so its answer is not kept. */
    public close(job: LeasedJob, outcome: JobOutcome): void {
        this.jobs.delete(job.submission.id);
        job.tasks.forEach(task => this.tasks.delete(task.name));
        if (outcome.kind !== "refused") {
            this.keepAnswer(job.submission.id, outcome);
        }
    }

    private keepAnswer(id: string, outcome: JobOutcome): void {
        this.answers.set(id, outcome);
        const oldest = this.answers.keys().next().value;
        if (this.answers.size > MAX_KEPT_ANSWERS && oldest !== undefined) {
            this.answers.delete(oldest);
        }
    }
}
