import type { PlannedJob } from "./PlannedJob.js";
import type { Profile } from "./Profile.js";
import { QueueDiscipline } from "./QueueDiscipline.js";

interface OpenJob {
    readonly job: PlannedJob;
    /** Run times of the waiting tasks in ascending order; the longest is taken first, from the end. */
    readonly waiting: number[];
    remainingMs: number;
    unfinished: number;
}

interface RunningTask {
    readonly endsAt: number;
    readonly slot: Slot;
    readonly job: OpenJob;
}

interface Slot {
    readonly speed: number;
}

/**
 * Central queue in virtual time that knows all run times and has no overhead. It assigns the longest waiting task of
 * the job that the discipline puts first to the fastest free slot. It does not preempt, as the dispatcher does not.
 */
export class IdealQueue {
    private readonly freeSlots: Slot[];
    private readonly running: RunningTask[] = [];
    private readonly openJobs = new Set<OpenJob>();
    private readonly responses = new Map<number, number>();

    constructor(profile: Profile, private readonly discipline: QueueDiscipline) {
        this.freeSlots = profile.workers
            .flatMap(worker => Array.from({ length: worker.slots }, () => ({ speed: worker.speed })))
            .sort((a, b) => a.speed - b.speed);
    }

    /** Returns the response time in milliseconds of each job by its index. */
    public run(jobs: readonly PlannedJob[]): ReadonlyMap<number, number> {
        for (const job of jobs) {
            this.finishUntil(job.at);
            this.enqueue(job);
            this.startAll(job.at);
        }
        this.finishUntil(Infinity);
        return this.responses;
    }

    private enqueue(job: PlannedJob): void {
        const waiting = job.tasks.map(task => task.runMs).sort((a, b) => a - b);
        const remainingMs = waiting.reduce((sum, ms) => sum + ms, 0);
        this.openJobs.add({ job, waiting, remainingMs, unfinished: waiting.length });
    }

    private finishUntil(time: number): void {
        for (let next = this.running[0]; next !== undefined && next.endsAt <= time; next = this.running[0]) {
            this.running.shift();
            this.release(next.slot);
            this.finishTask(next);
            this.startAll(next.endsAt);
        }
    }

    private finishTask({ job, endsAt }: RunningTask): void {
        job.unfinished -= 1;
        if (job.unfinished === 0) {
            this.openJobs.delete(job);
            this.responses.set(job.job.index, endsAt - job.job.at);
        }
    }

    private startAll(time: number): void {
        while (this.freeSlots.length > 0) {
            const job = this.nextJob();
            const runMs = job?.waiting.pop();
            const slot = job === undefined ? undefined : this.freeSlots.pop();
            if (job === undefined || runMs === undefined || slot === undefined) {
                return;
            }
            job.remainingMs -= runMs;
            this.insertRunning({ endsAt: time + runMs / slot.speed, slot, job });
        }
    }

    private nextJob(): OpenJob | undefined {
        let best: OpenJob | undefined;
        for (const job of this.openJobs) {
            if (job.waiting.length === 0) {
                continue;
            }
            const isFirst = best === undefined;
            const isBetter = this.discipline === QueueDiscipline.LeastRemaining
                && job.remainingMs < (best?.remainingMs ?? Infinity);
            if (isFirst || isBetter) {
                best = job;
            }
        }
        return best;
    }

    private release(slot: Slot): void {
        const position = this.freeSlots.findIndex(other => other.speed >= slot.speed);
        this.freeSlots.splice(position < 0 ? this.freeSlots.length : position, 0, slot);
    }

    private insertRunning(task: RunningTask): void {
        const position = this.running.findIndex(other => other.endsAt > task.endsAt);
        this.running.splice(position < 0 ? this.running.length : position, 0, task);
    }
}
