import { match } from "ts-pattern";
import type { Clock } from "../../common/Clock.js";
import type { ConfigurationView } from "../../common/configuration/ConfigurationView.js";
import type { Disposable } from "../../common/Disposable.js";
import { DisposableStore } from "../../common/DisposableStore.js";
import { Fault } from "../../common/Fault.js";
import { FaultCode } from "../../common/FaultCode.js";
import type { JobRequest } from "../../common/job/JobRequest.js";
import { Verdict } from "../../common/Verdict.js";
import type { MessageOf } from "../../common/wire/MessageOf.js";
import type { Outcome } from "../../common/wire/Outcome.js";
import { EntryEvent } from "../EntryEvent.js";
import type { Assignment } from "../policy/Assignment.js";
import { Disposition } from "../policy/Disposition.js";
import type { QueuedTask } from "../policy/QueuedTask.js";
import type { Scheduler } from "../policy/Scheduler.js";
import type { AgentChannelEvent } from "./AgentChannelEvent.js";
import type { AgentLink } from "./AgentLink.js";
import type { Job } from "./Job.js";
import type { JobHistories } from "./JobHistories.js";
import { ServiceQueue } from "./ServiceQueue.js";
import type { TaskResult } from "./TaskResult.js";
import { toTaskResult } from "./toTaskResult.js";
import { UnknownAttempts } from "./UnknownAttempts.js";

/** Fault codes of refusals that do not count against the agent's health. */
const HEALTH_NEUTRAL: ReadonlySet<string> = new Set([
    FaultCode.NoSlot,
    FaultCode.Draining,
    FaultCode.TicketFenced,
    FaultCode.IssuerFenced,
    FaultCode.Duplicate,
    FaultCode.Revoked,
    FaultCode.Cancelled,
    FaultCode.DeadlineExceeded,
]);

/** Fault codes after which no agent starts another task of the job. */
const JOB_ENDING: ReadonlySet<string> = new Set([FaultCode.TicketFenced, FaultCode.IssuerFenced]);

interface Dependencies {
    readonly clock: Clock;
    readonly configuration: ConfigurationView;
    readonly agents: AgentLink;
    readonly histories: JobHistories;
    readonly createScheduler: () => Scheduler;
    readonly find: (key: string) => Job | undefined;
    readonly openJobs: () => readonly Job[];
    readonly setResult: (job: Job, task: number, result: TaskResult) => void;
    readonly stop: (job: Job, fault: Fault) => void;
}

/** Starts the attempts that the schedulers assign, and tracks each until it ends. */
export class TaskDispatcher implements Disposable {
    private readonly queues = new Map<string, ServiceQueue>();
    private readonly registrations = new DisposableStore();
    private readonly unknownAttempts: UnknownAttempts;

    constructor(private readonly dependencies: Dependencies) {
        this.unknownAttempts = new UnknownAttempts(dependencies);
        this.registrations.add(dependencies.agents.onEvent(event => {
            this.handle(event);
        }));
        this.registrations.add(dependencies.configuration.onChange(() => {
            for (const queue of this.queues.values()) {
                queue.configure(dependencies.configuration);
                queue.pump();
            }
        }));
    }

    public queued(service: string): number {
        return this.queues.get(service)?.scheduler.queued ?? 0;
    }

    /** Submits the job to the scheduler, which may refuse it. The caller calls `pump` once the job is registered. */
    public admit(job: Job, request: JobRequest): Fault | undefined {
        const now = this.dependencies.clock.now();
        const { team } = job.ticket;
        const { deadlineAt } = job;
        const tasks = request.tasks.map((task, index): QueuedTask => ({
            job: job.key,
            task: index,
            attempt: 1,
            team,
            declaredMs: task.sizeMs,
            repeatable: task.repeatable,
            enqueuedAt: now,
            deadlineAt,
        }));
        const agents = new Set(job.ticket.agents.map(agent => agent.incarnation));
        return this.queueOf(job.ticket.service).scheduler.admit({ job: job.key, team, deadlineAt, agents, tasks }, now);
    }

    public pump(service: string): void {
        this.queueOf(service).pump();
    }

    /** Withdraws the job's queued tasks; their result is the job's stop reason. */
    public withdrawAll(job: Job): void {
        const now = this.dependencies.clock.now();
        for (const task of this.queueOf(job.ticket.service).scheduler.withdraw(job.key, undefined, now)) {
            this.dependencies.setResult(job, task, notRun(job));
        }
    }

    /** Gives up on an open attempt and sets `result` as the task's result. */
    public abandon(job: Job, task: number, result: TaskResult): void {
        const open = job.openAttempt(task);
        if (open === undefined) {
            return;
        }
        const { scheduler } = this.queueOf(job.ticket.service);
        const now = this.dependencies.clock.now();
        const { attempt, agent } = open;
        const { ok, verdict } = result;
        scheduler.report({ job: job.key, task, attempt, agent, verdict, ok, runMs: 0, countsForHealth: false }, now);
        scheduler.withdraw(job.key, task, now);
        this.dependencies.histories.record(job.key, EntryEvent.TaskEnded, {
            task,
            attempt,
            agent,
            detail: result.verdict,
        });
        this.dependencies.setResult(job, task, result);
    }

    public dispose(): void {
        this.registrations.dispose();
        for (const queue of this.queues.values()) {
            queue.dispose();
        }
    }

    private handle(event: AgentChannelEvent): void {
        const { agent } = event;
        const queue = this.queueOf(event.service);
        const now = this.dependencies.clock.now();
        match(event)
            .with({ kind: "attached" }, ({ profile }) => {
                queue.scheduler.addAgent(profile, now);
                this.unknownAttempts.resolve(agent);
            })
            .with({ kind: "detached" }, () => {
                queue.scheduler.removeAgent(agent, now);
                this.unknownAttempts.markUnknown(agent);
            })
            .with({ kind: "lost" }, () => {
                this.handleAgentLost(agent);
                this.stopUnrunnableJobs(event.service);
            })
            .with({ kind: "credit" }, ({ count }) => {
                queue.scheduler.addCredits(agent, count, now);
            })
            .with({ kind: "reclaim" }, ({ count }) => {
                this.release(queue.scheduler, agent, count);
            })
            .with({ kind: "draining" }, () => {
                queue.scheduler.drainAgent(agent, now);
                this.stopUnrunnableJobs(event.service);
            })
            .with({ kind: "outcome" }, ({ report }) => {
                if (report.credit) {
                    queue.scheduler.addCredits(agent, 1, now);
                }
                this.handleOutcome(agent, report);
            })
            .with({ kind: "revoked" }, ({ report }) => {
                this.unknownAttempts.confirmRunning(agent, report);
            })
            .with({ kind: "fenced" }, { kind: "state" }, () => undefined)
            .exhaustive();
        queue.pump();
    }

    private queueOf(service: string): ServiceQueue {
        const existing = this.queues.get(service);
        if (existing !== undefined) {
            return existing;
        }
        const queue = new ServiceQueue(
            service,
            this.dependencies.createScheduler(),
            this.dependencies.clock,
            assignment => {
                this.start(assignment);
            },
            task => {
                this.expire(task);
            },
        );
        queue.configure(this.dependencies.configuration);
        this.queues.set(service, queue);
        return queue;
    }

    private start(assignment: Assignment): void {
        const { agent, reason } = assignment;
        const { task, attempt, deadlineAt, repeatable } = assignment.task;
        const job = this.dependencies.find(assignment.task.job);
        const request = job?.taskAt(task);
        if (job === undefined || request === undefined) {
            return;
        }
        const { issuer, sequence, service } = job.ticket;
        job.begin(task, attempt, agent);
        this.dependencies.histories.record(job.key, EntryEvent.TaskPlaced, { task, attempt, agent, detail: reason });
        const { payload } = request;
        const { digest } = job;
        const budgetMs = deadlineAt - this.dependencies.clock.now();
        const key = { issuer, sequence, task, attempt };
        const start = { ...key, payload, digest, budgetMs, repeatable, queued: this.queued(service) };
        const sent = this.dependencies.agents.send(agent, { kind: "start", ...start });
        if (!sent) {
            const error = { code: FaultCode.Draining, message: "the agent's connection closed before the start" };
            this.endAttempt(job, agent, { task, attempt, verdict: Verdict.NotRun, ok: false, error, runMs: 0 });
        }
    }

    private expire(expired: QueuedTask): void {
        const job = this.dependencies.find(expired.job);
        if (job !== undefined && job.isQueued(expired.task)) {
            const error = {
                code: FaultCode.DeadlineExceeded,
                message: "the deadline passed before the task was started",
            };
            this.dependencies.setResult(job, expired.task, { ok: false, verdict: Verdict.NotRun, error });
        }
    }

    private handleOutcome(agent: string, report: MessageOf<"outcome">): void {
        const job = this.dependencies.find(`${report.issuer}/${report.sequence}`);
        const open = job?.openAttempt(report.outcome.task);
        if (job !== undefined && open?.agent === agent && open.attempt === report.outcome.attempt) {
            this.endAttempt(job, agent, report.outcome);
        }
    }

    private endAttempt(job: Job, agent: string, reported: Outcome): void {
        const outcome = adjustVerdict(reported);
        const { task, attempt, verdict, ok, runMs } = outcome;
        const { scheduler } = this.queueOf(job.ticket.service);
        const now = this.dependencies.clock.now();
        const code = outcome.error?.code ?? "";
        const countsForHealth = !HEALTH_NEUTRAL.has(code);
        const disposition = scheduler.report(
            { job: job.key, task, attempt, agent, verdict, ok, runMs, countsForHealth },
            now,
        );
        const detail = ok ? "ok" : `${verdict} ${code}`;
        this.dependencies.histories.record(job.key, EntryEvent.TaskEnded, { task, attempt, agent, detail });
        job.closeAttempt(task, toTaskResult(outcome));
        if (JOB_ENDING.has(code)) {
            this.dependencies.stop(job, new Fault(code as FaultCode, "another entry settled the ticket of this job"));
        }
        const requeued = disposition === Disposition.Requeued;
        if (requeued && job.stopReason === undefined) {
            this.dependencies.histories.record(job.key, EntryEvent.TaskRequeued, { task, attempt: attempt + 1 });
            return;
        }
        if (requeued) {
            scheduler.withdraw(job.key, task, now);
        }
        this.dependencies.setResult(job, task, toTaskResult(outcome));
    }

    private handleAgentLost(agent: string): void {
        this.unknownAttempts.eachOpen(agent, (job, task, attempt) => {
            const error = { code: FaultCode.AgentLost, message: "the agent's process ended" };
            this.endAttempt(job, agent, { task, attempt, verdict: Verdict.MayHaveRun, ok: false, error, runMs: 0 });
        });
    }

    /** Stops jobs that no agent of their ticket can run any more, instead of letting them wait for the deadline. */
    private stopUnrunnableJobs(service: string): void {
        for (const job of this.dependencies.openJobs().filter(openJob => openJob.ticket.service === service)) {
            if (!job.ticket.agents.some(agent => this.dependencies.agents.mayRun(agent.incarnation))) {
                this.dependencies.stop(
                    job,
                    new Fault(FaultCode.NoAgents, "no agent of the ticket is available any more"),
                );
            }
        }
    }

    private release(scheduler: Scheduler, agent: string, requested: number): void {
        const count = Math.min(requested, scheduler.freeCredits(agent));
        if (count > 0) {
            scheduler.addCredits(agent, -count, this.dependencies.clock.now());
            this.dependencies.agents.send(agent, { kind: "release", count });
        }
    }
}

function notRun(job: Job): TaskResult {
    return { ok: false, verdict: Verdict.NotRun, error: job.stopReason };
}

/** A refusal as duplicate means that the agent has another attempt on record, so the task may have run. */
function adjustVerdict(outcome: Outcome): Outcome {
    return outcome.error?.code === FaultCode.Duplicate ? { ...outcome, verdict: Verdict.MayHaveRun } : outcome;
}
