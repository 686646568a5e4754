import type { Fault } from "../../common/Fault.js";
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

/** Baseline for comparisons: first in, first out, on the first agent with a free slot, retrying only what was not run. */
export class FifoScheduler implements Scheduler {
    private readonly agents = new CreditTable();
    private readonly eligible = new EligibleAgents();
    private readonly attempts = new OpenAttempts();
    private queue: QueuedTask[] = [];
    private limits: SchedulerLimits | undefined;

    /** Jobs whose agents are kept. */
    public get openJobs(): number {
        return this.eligible.size;
    }

    public get queued(): number {
        return this.queue.length;
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
    }

    public removeAgent(id: string): void {
        this.agents.remove(id);
    }

    public addCredits(id: string, delta: number): void {
        this.agents.addCredits(id, delta);
    }

    public freeCredits(id: string): number {
        return this.agents.credits(id);
    }

    public drainAgent(id: string): void {
        this.agents.drain(id);
    }

    public admit(job: ScheduledJob): Fault | undefined {
        const refusal = overflow(this.queue.length, job, this.limits);
        if (refusal === undefined) {
            this.eligible.add(job);
            this.queue.push(...job.tasks);
        }
        return refusal;
    }

    public withdraw(job: string, task: number | undefined): readonly number[] {
        const matches = (queued: QueuedTask) => queued.job === job && (task === undefined || queued.task === task);
        const withdrawn = this.queue.filter(matches);
        this.queue = this.queue.filter(queued => !matches(queued));
        withdrawn.forEach(queued => this.eligible.endTask(queued.job));
        return withdrawn.map(queued => queued.task);
    }

    public assign(): Assignment | undefined {
        const free = [...this.agents.ids()].filter(id => this.agents.isFree(id));
        if (free.length === 0) {
            return undefined;
        }
        for (const [index, task] of this.queue.entries()) {
            const agent = free.find(id => this.eligible.get(task.job)?.has(id) === true);
            if (agent !== undefined) {
                this.queue.splice(index, 1);
                this.agents.addCredits(agent, -1);
                this.attempts.open(task);
                return { task, agent, reason: "first free" };
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
        this.queue.push(again);
        return Disposition.Requeued;
    }

    public expire(now: number): readonly QueuedTask[] {
        const expired = this.queue.filter(task => task.deadlineAt <= now);
        this.queue = this.queue.filter(task => task.deadlineAt > now);
        expired.forEach(task => this.eligible.endTask(task.job));
        return expired;
    }

    public nextWakeAt(): number | undefined {
        return this.queue.reduce<number | undefined>((earliest, task) => {
            return earliest === undefined ? task.deadlineAt : Math.min(earliest, task.deadlineAt);
        }, undefined);
    }
}
