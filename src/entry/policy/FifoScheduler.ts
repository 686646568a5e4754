import type { Fault } from "../../common/Fault.js";
import type { Assignment } from "./Assignment.js";
import { BaselineScheduler } from "./BaselineScheduler.js";
import type { QueuedTask } from "./QueuedTask.js";
import { refuseIfFull } from "./refuseIfFull.js";
import type { ScheduledJob } from "./ScheduledJob.js";

/**
 * Baseline for comparisons: first in, first out, on the first agent with a free slot; only tasks that were not run are
 * retried.
 */
export class FifoScheduler extends BaselineScheduler {
    private queue: QueuedTask[] = [];

    public override get queued(): number {
        return this.queue.length;
    }

    public override admit(job: ScheduledJob): Fault | undefined {
        const refusal = refuseIfFull(this.queue.length, job, this.limits);
        if (refusal === undefined) {
            this.eligible.add(job);
            this.queue.push(...job.tasks);
        }
        return refusal;
    }

    public override assign(): Assignment | undefined {
        const free = [...this.agents.ids()].filter(id => this.agents.isFree(id));
        if (free.length === 0) {
            return undefined;
        }
        for (const [index, task] of this.queue.entries()) {
            const agent = free.find(id => this.eligible.get(task.job)?.has(id) === true);
            if (agent !== undefined) {
                this.queue.splice(index, 1);
                return this.start(task, agent, "first free");
            }
        }
        return undefined;
    }

    protected override enqueue(task: QueuedTask): void {
        this.queue.push(task);
    }

    protected override waiting(): Iterable<QueuedTask> {
        return this.queue;
    }

    protected override removeWhere(matches: (task: QueuedTask) => boolean): QueuedTask[] {
        const removed = this.queue.filter(matches);
        this.queue = this.queue.filter(task => !matches(task));
        return removed;
    }
}
