import { Fault } from "../../common/Fault.js";
import { FaultCode } from "../../common/FaultCode.js";
import type { Random } from "../../common/Random.js";
import { Verdict } from "../../common/Verdict.js";
import type { AdmissionContext } from "./AdmissionContext.js";
import type { AgentEntry } from "./AgentEntry.js";
import { AgentPool } from "./AgentPool.js";
import type { AgentProfile } from "./AgentProfile.js";
import type { Assignment } from "./Assignment.js";
import { attemptKey } from "./attemptKey.js";
import type { AttemptReport } from "./AttemptReport.js";
import { Backlog } from "./Backlog.js";
import { defaultPolicies } from "./defaultPolicies.js";
import { Disposition } from "./Disposition.js";
import type { FairPolicies } from "./FairPolicies.js";
import type { QueuedTask } from "./QueuedTask.js";
import { RunningTasks } from "./RunningTasks.js";
import type { ScheduledJob } from "./ScheduledJob.js";
import type { Scheduler } from "./Scheduler.js";
import type { SchedulerLimits } from "./SchedulerLimits.js";
import type { SchedulerSnapshot } from "./SchedulerSnapshot.js";
import type { TaskEntry } from "./TaskEntry.js";
import { TaskPhase } from "./TaskPhase.js";

/** A task is overdue when it has run for this multiple of the 99th percentile of its size class. */
const OVERDUE_FACTOR = 4;

/**
 * Agents that take more than this multiple of the average get the shorter tasks of a job, so that its longest task does
 * not end long after the others.
 */
const SLOW_RATIO = 1.2;

/**
 * Late binding: a task is assigned to an agent only when a slot is free. Teams are served by fair share, the jobs of a
 * team by least remaining work, and a task goes to the fastest free agent.
 */
export class FairScheduler implements Scheduler {
    private readonly policies: FairPolicies;
    private readonly backlog: Backlog;
    private readonly agents: AgentPool;
    private readonly runningTasks = new RunningTasks();
    private limits: SchedulerLimits | undefined;

    constructor(random: Random, policies: FairPolicies = defaultPolicies(random)) {
        this.policies = policies;
        this.backlog = new Backlog(policies.ordering, policies.fairShare, policies.sizeEstimates);
        this.agents = new AgentPool(policies.health);
    }

    public get queued(): number {
        return this.backlog.queued;
    }

    public get running(): number {
        return this.runningTasks.size;
    }

    public configure(limits: SchedulerLimits): void {
        this.limits = limits;
        for (const team of this.backlog.teams.all()) {
            this.backlog.teams.setWeight(team, limits.team(team.name)?.weight ?? team.weight);
        }
    }

    public addAgent(agent: AgentProfile): void {
        this.agents.add(agent);
    }

    public removeAgent(id: string): void {
        this.agents.remove(id);
        this.policies.speed.forget(id);
    }

    public addCredits(id: string, delta: number): void {
        const agent = this.agents.get(id);
        if (agent !== undefined) {
            this.agents.addCredits(agent, delta);
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

    public admit(job: ScheduledJob, now: number): Fault | undefined {
        if (this.backlog.has(job.job)) {
            return new Fault(FaultCode.Duplicate, `job ${job.job} is already open`);
        }
        const refusal = this.policies.admission.refuse(job, this.admissionContext(job, now), this.limits, now);
        if (refusal === undefined) {
            const team = this.backlog.teams.get(job.team);
            this.backlog.teams.setWeight(team, this.limits?.team(job.team)?.weight ?? 1);
            this.backlog.add(job, now);
        }
        return refusal;
    }

    public withdraw(job: string, task: number | undefined): readonly number[] {
        return this.backlog.withdraw(job, task);
    }

    public assign(now: number): Assignment | undefined {
        this.backlog.processDue(now);
        this.runningTasks.reclassify(now);
        this.recordOverdue(now);
        if (this.agents.freeCredits <= 0 || this.backlog.queued === 0) {
            return undefined;
        }
        const slots = this.agents.freeCredits + this.runningTasks.size;
        this.backlog.setSlots(slots);
        const accepting = this.agents.accepting(now);
        const reserved = this.limits?.reservedShare ?? 0;
        const { placement } = this.policies;
        const entry = this.backlog.next(
            group => accepting.some(agent => group.agents.has(agent.profile.id)),
            sizeClass => placement.allowsClass(sizeClass, this.runningTasks.byClass, slots, reserved),
            slots,
        );
        return entry === undefined ? undefined : this.start(entry, accepting, now);
    }

    public report(report: AttemptReport, now: number): Disposition {
        const entry = this.backlog.find(report.job, report.task);
        const agent = entry?.agent;
        if (
            entry?.phase !== TaskPhase.Running || agent === undefined || entry.task.attempt !== report.attempt
            || agent.profile.id !== report.agent
        ) {
            return Disposition.Final;
        }
        this.releaseSlot(entry, agent, report, now);
        this.learn(entry, agent, report, now);
        const delay = this.retryDelay(entry, agent, report, now);
        if (delay === undefined) {
            this.backlog.end(entry);
            return Disposition.Final;
        }
        entry.task = { ...entry.task, attempt: entry.task.attempt + 1 };
        this.backlog.requeue(entry, now + delay);
        return Disposition.Requeued;
    }

    public expire(now: number): readonly QueuedTask[] {
        return this.backlog.expire(now);
    }

    public nextWakeAt(now: number): number | undefined {
        if (this.backlog.queued === 0) {
            return undefined;
        }
        const { nextDeadlineAt, nextRetryAt } = this.backlog;
        const at = Math.min(nextDeadlineAt, nextRetryAt, this.agents.nextUsableAt(now));
        return at === Infinity ? undefined : at;
    }

    public ejected(): readonly string[] {
        return [...this.agents.all()]
            .map(agent => agent.profile.id)
            .filter(id => this.policies.health.isEjected(id));
    }

    /** Returns a snapshot of the state for operators. */
    public snapshot(): SchedulerSnapshot {
        const agents = [...this.agents.all()].map(agent => ({
            id: agent.profile.id,
            speed: this.policies.speed.ratio(agent.profile.id),
            ejected: this.policies.health.isEjected(agent.profile.id),
            draining: agent.draining,
            credits: agent.credits,
            running: agent.running,
        }));
        const teams = [...this.backlog.teams.all()].map(({ name, queued, running }) => ({
            team: name,
            queued,
            running,
        }));
        return { agents, teams };
    }

    private start(first: TaskEntry, accepting: readonly AgentEntry[], now: number): Assignment | undefined {
        const { health, placement, retry, sizeEstimates, speed } = this.policies;
        const candidates = accepting.filter(agent => first.job.group.agents.has(agent.profile.id));
        const probe = candidates.find(candidate => health.isProbeDue(candidate.profile.id, now));
        const agent = probe ?? placement.pick(candidates, first.agent?.profile.id);
        if (agent === undefined) {
            return undefined;
        }
        const isSlow = speed.ratio(agent.profile.id) > SLOW_RATIO;
        const entry = isSlow ? this.backlog.shortest(first) : first;
        this.backlog.dequeue(entry, TaskPhase.Running);
        this.backlog.charge(entry, entry.expectedMs);
        this.agents.addCredits(agent, -1);
        entry.agent = agent;
        entry.startedAt = now;
        entry.job.team.running += 1;
        agent.running += 1;
        placement.addRunning(agent, 1);
        health.recordStart(agent.profile.id, attemptKey(entry.task), now);
        this.runningTasks.add(entry, now + OVERDUE_FACTOR * sizeEstimates.p99Ms(entry.sizeClass));
        if (entry.task.attempt === 1) {
            retry.recordFirstStart();
        }
        const fastest = `fastest of ${candidates.length} free${isSlow ? ", slow: smallest task of the job" : ""}`;
        const reason = probe === undefined ? fastest : "probe of ejected agent";
        return { task: entry.task, agent: agent.profile.id, reason };
    }

    private releaseSlot(entry: TaskEntry, agent: AgentEntry, report: AttemptReport, now: number): void {
        this.runningTasks.delete(entry);
        entry.job.team.running -= 1;
        agent.running -= 1;
        this.policies.placement.addRunning(agent, -1);
        const elapsedMs = report.verdict === Verdict.NotRun ? 0 : now - entry.startedAt;
        const usedMs = report.runMs > 0 ? report.runMs : elapsedMs;
        this.backlog.charge(entry, usedMs - entry.expectedMs);
    }

    private learn(entry: TaskEntry, agent: AgentEntry, report: AttemptReport, now: number): void {
        const { admission, health, sizeEstimates, speed } = this.policies;
        const id = agent.profile.id;
        const attempt = attemptKey(report);
        if (report.verdict === Verdict.Ran && report.ok) {
            const averageMs = report.runMs / speed.ratio(id);
            speed.observe(id, sizeEstimates.expectedMs(entry.task), report.runMs);
            sizeEstimates.observe(entry.task, averageMs);
            admission.recordFinished(entry.expectedMs, this.agents.freeCredits + this.running, this.queued > 0, now);
            health.recordSuccess(id, attempt);
            agent.refusals = 0;
        }
        else if (report.countsForHealth) {
            health.recordFailure(id, attempt, now);
        }
        else {
            health.recordNeutralEnd(id, attempt, now);
        }
    }

    private retryDelay(
        entry: TaskEntry,
        agent: AgentEntry,
        report: AttemptReport,
        now: number,
    ): number | undefined {
        const { retry } = this.policies;
        const refused = report.verdict === Verdict.NotRun && !report.countsForHealth;
        if (refused) {
            agent.refusals += 1;
            agent.backoffUntil = now + retry.afterRefusal(agent.refusals);
        }
        const succeeded = report.verdict === Verdict.Ran && report.ok;
        // An attempt with unknown outcome may still be running, so even a repeatable task is not started again.
        const mayRepeat = report.verdict === Verdict.NotRun
            || (report.verdict === Verdict.Ran && entry.task.repeatable);
        const isOver = entry.withdrawn || entry.job.withdrawn || now >= entry.task.deadlineAt;
        if (succeeded || !mayRepeat || isOver) {
            return undefined;
        }
        if (refused) {
            entry.refusals += 1;
            return retry.afterRefusal(entry.refusals);
        }
        entry.failures += 1;
        return retry.afterFailure(entry.failures);
    }

    private recordOverdue(now: number): void {
        const { health } = this.policies;
        for (
            let entry = this.runningTasks.popOverdue(now);
            entry !== undefined;
            entry = this.runningTasks.popOverdue(now)
        ) {
            health.recordOverdue(entry.agent?.profile.id ?? "", now);
        }
    }

    private admissionContext(job: ScheduledJob, now: number): AdmissionContext {
        const team = this.backlog.teams.getOrEmpty(job.team);
        const expected = job.tasks.map(task => this.policies.sizeEstimates.expectedMs(task));
        const jobMs = expected.reduce((sum, ms) => sum + ms, 0);
        const key = this.policies.ordering.key(jobMs, now);
        return {
            queued: this.backlog.queued,
            queuedMs: this.backlog.queuedMs,
            teamTasks: team.queued + team.running,
            teamQueuedMs: team.queuedMs,
            teamBeforeMs: this.backlog.teams.workBefore(team, key),
            teamSlackMs: this.backlog.slackMs(team, key, now),
            teamLagMs: this.policies.fairShare.lag(team.name) * team.weight,
            teamShare: this.backlog.teams.share(team),
            ...this.agents.capacity(job.agents),
            jobMs,
            longestTaskMs: Math.max(0, ...expected),
            shortestObservedMs: this.policies.sizeEstimates.shortestObservedMs,
        };
    }
}
