import { Fault } from "../../common/Fault.js";
import { FaultCode } from "../../common/FaultCode.js";
import type { AgentProfile } from "./AgentProfile.js";
import type { Assignment } from "./Assignment.js";
import type { AttemptReport } from "./AttemptReport.js";
import { CreditTable } from "./CreditTable.js";
import { Disposition } from "./Disposition.js";
import { EligibleAgents } from "./EligibleAgents.js";
import { OpenAttempts } from "./OpenAttempts.js";
import { overflow } from "./overflow.js";
import type { QueuedTask } from "./QueuedTask.js";
import type { ScheduledJob } from "./ScheduledJob.js";
import type { Scheduler } from "./Scheduler.js";
import type { SchedulerLimits } from "./SchedulerLimits.js";

/** Queue of tasks that no agent can take, because every agent of their job has gone. */
const UNBOUND = "";

/** For comparisons: each task is committed at admission to one agent's queue, first in, first out. */
export abstract class EarlyBindingScheduler implements Scheduler {
    private readonly agents = new CreditTable();
    private readonly eligible = new EligibleAgents();
    private readonly attempts = new OpenAttempts();
    private readonly queues = new Map<string, QueuedTask[]>();
    private queuedTasks = 0;
    private limits: SchedulerLimits | undefined;

    /** Jobs whose agents are kept. */
    public get openJobs(): number {
        return this.eligible.size;
    }

    public get queued(): number {
        return this.queuedTasks;
    }

    public ejected(): readonly string[] {
        return [];
    }

    public get running(): number {
        return this.attempts.size;
    }

    public configure(limits: SchedulerLimits): void {
        this.limits = limits;
    }

    public addAgent(agent: AgentProfile): void {
        this.agents.add(agent.id);
        this.rebind(UNBOUND);
    }

    public removeAgent(id: string): void {
        this.agents.remove(id);
        this.rebind(id);
    }

    public addCredits(id: string, delta: number): void {
        this.agents.addCredits(id, delta);
    }

    public freeCredits(id: string): number {
        return this.agents.credits(id);
    }

    public drainAgent(id: string): void {
        this.agents.drain(id);
        this.rebind(id);
    }

    public admit(job: ScheduledJob): Fault | undefined {
        const refusal = overflow(this.queuedTasks, job, this.limits);
        if (refusal !== undefined) {
            return refusal;
        }
        if (![...job.agents].some(id => this.agents.accepts(id))) {
            return new Fault(FaultCode.NoAgents, "no agent of the ticket accepts work");
        }
        this.eligible.add(job);
        job.tasks.forEach(task => this.bind(task));
        return undefined;
    }

    public withdraw(job: string, task: number | undefined): readonly number[] {
        const matches = (queued: QueuedTask) => queued.job === job && (task === undefined || queued.task === task);
        return this.removeWhere(matches).map(queued => queued.task);
    }

    public assign(): Assignment | undefined {
        for (const [agent, queue] of this.queues) {
            const task = this.agents.isFree(agent) ? queue.shift() : undefined;
            if (task !== undefined) {
                this.queuedTasks -= 1;
                this.agents.addCredits(agent, -1);
                this.attempts.open(task);
                return { task, agent, reason: "bound at admission" };
            }
        }
        return undefined;
    }

    public report(report: AttemptReport, now: number): Disposition {
        const isOpen = this.attempts.has(report);
        const again = this.attempts.close(report, now);
        if (again === undefined) {
            if (isOpen) {
                this.eligible.endTask(report.job);
            }
            return Disposition.Final;
        }
        this.bind(again);
        return Disposition.Requeued;
    }

    public expire(now: number): readonly QueuedTask[] {
        return this.removeWhere(task => task.deadlineAt <= now);
    }

    public nextWakeAt(): number | undefined {
        let earliest = Infinity;
        for (const queue of this.queues.values()) {
            queue.forEach(task => earliest = Math.min(earliest, task.deadlineAt));
        }
        return earliest === Infinity ? undefined : earliest;
    }

    /** Chooses one of the agents, of which there is at least one. */
    protected abstract choose(agents: readonly string[]): string | undefined;

    protected queueLength(agent: string): number {
        return this.queues.get(agent)?.length ?? 0;
    }

    private bind(task: QueuedTask): void {
        const agents = [...this.eligible.get(task.job) ?? []].filter(id => this.agents.accepts(id));
        const agent = agents.length === 0 ? UNBOUND : this.choose(agents) ?? UNBOUND;
        const queue = this.queues.get(agent) ?? [];
        this.queues.set(agent, queue);
        queue.push(task);
        this.queuedTasks += 1;
    }

    private rebind(agent: string): void {
        const tasks = this.queues.get(agent) ?? [];
        this.queues.delete(agent);
        this.queuedTasks -= tasks.length;
        tasks.forEach(task => this.bind(task));
    }

    private removeWhere(matches: (task: QueuedTask) => boolean): QueuedTask[] {
        const removed: QueuedTask[] = [];
        for (const [agent, queue] of this.queues) {
            removed.push(...queue.filter(matches));
            this.queues.set(agent, queue.filter(task => !matches(task)));
        }
        this.queuedTasks -= removed.length;
        removed.forEach(task => this.eligible.endTask(task.job));
        return removed;
    }
}
