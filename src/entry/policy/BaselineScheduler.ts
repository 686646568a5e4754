import type { Fault } from "../../common/Fault.js";
import type { AgentProfile } from "./AgentProfile.js";
import type { Assignment } from "./Assignment.js";
import type { AttemptReport } from "./AttemptReport.js";
import { CreditTable } from "./CreditTable.js";
import { Disposition } from "./Disposition.js";
import { EligibleAgents } from "./EligibleAgents.js";
import { OpenAttempts } from "./OpenAttempts.js";
import type { QueuedTask } from "./QueuedTask.js";
import type { ScheduledJob } from "./ScheduledJob.js";
import type { Scheduler } from "./Scheduler.js";
import type { SchedulerLimits } from "./SchedulerLimits.js";

/**
 * Base class of the schedulers that serve as baselines for comparisons: credits, open attempts and limits. They never
 * eject an agent.
 */
export abstract class BaselineScheduler implements Scheduler {
    protected readonly agents = new CreditTable();
    protected readonly eligible = new EligibleAgents();
    protected readonly attempts = new OpenAttempts();
    protected limits: SchedulerLimits | undefined;

    /** Number of jobs that have tasks which have not ended. */
    public get openJobs(): number {
        return this.eligible.size;
    }

    public get running(): number {
        return this.attempts.size;
    }

    public abstract get queued(): number;

    public ejected(): readonly string[] {
        return [];
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

    public abstract admit(job: ScheduledJob): Fault | undefined;

    public withdraw(job: string, task: number | undefined): readonly number[] {
        const matches = (queued: QueuedTask) => queued.job === job && (task === undefined || queued.task === task);
        return this.removeAndEnd(matches).map(queued => queued.task);
    }

    public abstract assign(): Assignment | undefined;

    public report(report: AttemptReport, now: number): Disposition {
        const isOpen = this.attempts.has(report);
        const retry = this.attempts.close(report, now);
        if (retry === undefined) {
            if (isOpen) {
                this.eligible.endTask(report.job);
            }
            return Disposition.Final;
        }
        this.enqueue(retry);
        return Disposition.Requeued;
    }

    public expire(now: number): readonly QueuedTask[] {
        return this.removeAndEnd(task => task.deadlineAt <= now);
    }

    public nextWakeAt(): number | undefined {
        let earliest = Infinity;
        for (const task of this.waiting()) {
            earliest = Math.min(earliest, task.deadlineAt);
        }
        return earliest === Infinity ? undefined : earliest;
    }

    protected abstract enqueue(task: QueuedTask): void;

    /** All queued tasks. */
    protected abstract waiting(): Iterable<QueuedTask>;

    /** Takes the matching tasks out of the queue and returns them. */
    protected abstract removeWhere(matches: (task: QueuedTask) => boolean): QueuedTask[];

    /** Uses a credit of the agent, records the attempt and returns the assignment. */
    protected start(task: QueuedTask, agent: string, reason: string): Assignment {
        this.agents.addCredits(agent, -1);
        this.attempts.open(task);
        return { task, agent, reason };
    }

    private removeAndEnd(matches: (task: QueuedTask) => boolean): QueuedTask[] {
        const removed = this.removeWhere(matches);
        removed.forEach(task => this.eligible.endTask(task.job));
        return removed;
    }
}
