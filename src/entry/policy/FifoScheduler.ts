import { Fault } from "../../common/Fault.js";
import { FaultCode } from "../../common/FaultCode.js";
import { Verdict } from "../../common/Verdict.js";
import type { AgentProfile } from "./AgentProfile.js";
import type { Assignment } from "./Assignment.js";
import type { AttemptReport } from "./AttemptReport.js";
import { Disposition } from "./Disposition.js";
import type { QueuedTask } from "./QueuedTask.js";
import type { ScheduledJob } from "./ScheduledJob.js";
import type { Scheduler } from "./Scheduler.js";
import type { SchedulerLimits } from "./SchedulerLimits.js";

interface AgentState {
    credits: number;
    draining: boolean;
}

/** Baseline for comparisons: first in, first out, on the first agent with a free slot, retrying only what was not run. */
export class FifoScheduler implements Scheduler {
    private readonly agents = new Map<string, AgentState>();
    private readonly eligible = new Map<string, ReadonlySet<string>>();
    private readonly attempts = new Map<string, QueuedTask>();
    private queue: QueuedTask[] = [];
    private limits: SchedulerLimits | undefined;

    public get queued(): number {
        return this.queue.length;
    }

    public get running(): number {
        return this.attempts.size;
    }

    public configure(limits: SchedulerLimits): void {
        this.limits = limits;
    }

    public addAgent(agent: AgentProfile): void {
        this.agents.set(agent.id, { credits: 0, draining: false });
    }

    public removeAgent(id: string): void {
        this.agents.delete(id);
    }

    public addCredits(id: string, delta: number): void {
        const agent = this.agents.get(id);
        if (agent !== undefined) {
            agent.credits = Math.max(0, agent.credits + delta);
        }
    }

    public freeCredits(id: string): number {
        return this.agents.get(id)?.credits ?? 0;
    }

    public drainAgent(id: string): void {
        const agent = this.agents.get(id);
        if (agent !== undefined) {
            agent.draining = true;
        }
    }

    public admit(job: ScheduledJob): Fault | undefined {
        const limit = this.limits?.maxQueuedTasks ?? 0;
        if (this.queue.length + job.tasks.length > limit) {
            return new Fault(FaultCode.Overloaded, `queue is limited to ${limit} tasks`);
        }
        this.eligible.set(job.job, job.agents);
        this.queue.push(...job.tasks);
        return undefined;
    }

    public withdraw(job: string, task: number | undefined): readonly number[] {
        const matches = (queued: QueuedTask) => queued.job === job && (task === undefined || queued.task === task);
        const withdrawn = this.queue.filter(matches);
        this.queue = this.queue.filter(queued => !matches(queued));
        return withdrawn.map(queued => queued.task);
    }

    public assign(): Assignment | undefined {
        for (const [index, task] of this.queue.entries()) {
            const agent = this.freeAgent(this.eligible.get(task.job));
            if (agent !== undefined) {
                this.queue.splice(index, 1);
                this.addCredits(agent, -1);
                this.attempts.set(keyOf(task), task);
                return { task, agent, reason: "first free" };
            }
        }
        return undefined;
    }

    public report(report: AttemptReport, now: number): Disposition {
        const task = this.attempts.get(keyOf(report));
        this.attempts.delete(keyOf(report));
        if (task === undefined || report.verdict !== Verdict.NotRun || now >= task.deadlineAt) {
            return Disposition.Final;
        }
        this.queue.push({ ...task, attempt: task.attempt + 1 });
        return Disposition.Requeued;
    }

    public expire(now: number): readonly QueuedTask[] {
        const expired = this.queue.filter(task => task.deadlineAt <= now);
        this.queue = this.queue.filter(task => task.deadlineAt > now);
        return expired;
    }

    public nextWakeAt(): number | undefined {
        return this.queue.reduce<number | undefined>((earliest, task) => {
            return earliest === undefined ? task.deadlineAt : Math.min(earliest, task.deadlineAt);
        }, undefined);
    }

    private freeAgent(eligible: ReadonlySet<string> | undefined): string | undefined {
        for (const [id, agent] of this.agents) {
            if (agent.credits > 0 && !agent.draining && eligible?.has(id) === true) {
                return id;
            }
        }
        return undefined;
    }
}

function keyOf(attempt: { readonly job: string; readonly task: number; readonly attempt: number; }): string {
    return `${attempt.job}/${attempt.task}/${attempt.attempt}`;
}
