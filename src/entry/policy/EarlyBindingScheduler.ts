import { Fault } from "../../common/Fault.js";
import { FaultCode } from "../../common/FaultCode.js";
import type { AgentProfile } from "./AgentProfile.js";
import type { Assignment } from "./Assignment.js";
import { BaselineScheduler } from "./BaselineScheduler.js";
import type { QueuedTask } from "./QueuedTask.js";
import { refuseIfFull } from "./refuseIfFull.js";
import type { ScheduledJob } from "./ScheduledJob.js";

/** Key of the queue for tasks that no agent can take, because every agent of their job is gone or draining. */
const UNBOUND = "";

/** Baseline for comparisons: at admission, each task is bound to one agent's queue, which is first in, first out. */
export abstract class EarlyBindingScheduler extends BaselineScheduler {
    private readonly queues = new Map<string, QueuedTask[]>();
    private queuedTasks = 0;

    public override get queued(): number {
        return this.queuedTasks;
    }

    public override addAgent(agent: AgentProfile): void {
        super.addAgent(agent);
        this.rebind(UNBOUND);
    }

    public override removeAgent(id: string): void {
        super.removeAgent(id);
        this.rebind(id);
    }

    public override drainAgent(id: string): void {
        super.drainAgent(id);
        this.rebind(id);
    }

    public override admit(job: ScheduledJob): Fault | undefined {
        const refusal = refuseIfFull(this.queuedTasks, job, this.limits);
        if (refusal !== undefined) {
            return refusal;
        }
        if (![...job.agents].some(id => this.agents.accepts(id))) {
            return new Fault(FaultCode.NoAgents, "no agent of the ticket accepts work");
        }
        this.eligible.add(job);
        job.tasks.forEach(task => this.enqueue(task));
        return undefined;
    }

    public override assign(): Assignment | undefined {
        for (const [agent, queue] of this.queues) {
            const task = this.agents.isFree(agent) ? queue.shift() : undefined;
            if (task !== undefined) {
                this.queuedTasks -= 1;
                return this.start(task, agent, "bound at admission");
            }
        }
        return undefined;
    }

    /** Chooses one of the agents; the list is never empty. */
    protected abstract choose(agents: readonly string[]): string | undefined;

    protected queueLength(agent: string): number {
        return this.queues.get(agent)?.length ?? 0;
    }

    protected override enqueue(task: QueuedTask): void {
        const agents = [...this.eligible.get(task.job) ?? []].filter(id => this.agents.accepts(id));
        const agent = agents.length === 0 ? UNBOUND : this.choose(agents) ?? UNBOUND;
        const queue = this.queues.get(agent) ?? [];
        this.queues.set(agent, queue);
        queue.push(task);
        this.queuedTasks += 1;
    }

    protected override *waiting(): Iterable<QueuedTask> {
        for (const queue of this.queues.values()) {
            yield* queue;
        }
    }

    protected override removeWhere(matches: (task: QueuedTask) => boolean): QueuedTask[] {
        const removed: QueuedTask[] = [];
        for (const [agent, queue] of this.queues) {
            removed.push(...queue.filter(matches));
            this.queues.set(agent, queue.filter(task => !matches(task)));
        }
        this.queuedTasks -= removed.length;
        return removed;
    }

    private rebind(agent: string): void {
        const tasks = this.queues.get(agent) ?? [];
        this.queues.delete(agent);
        this.queuedTasks -= tasks.length;
        tasks.forEach(task => this.enqueue(task));
    }
}
