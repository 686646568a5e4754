import { type Either, Left, Right } from "purify-ts/Either";
import type { Clock } from "../../common/Clock.js";
import type { ConfigurationView } from "../../common/configuration/ConfigurationView.js";
import type { Disposable } from "../../common/Disposable.js";
import { DisposableStore } from "../../common/DisposableStore.js";
import { Fault } from "../../common/Fault.js";
import { FaultCode } from "../../common/FaultCode.js";
import type { JobAnswer } from "../../common/job/JobAnswer.js";
import type { JobRequest } from "../../common/job/JobRequest.js";
import { JobState } from "../../common/job/JobState.js";
import type { Ticket } from "../../common/ticket/Ticket.js";
import { Verdict } from "../../common/Verdict.js";
import { EntryEvent } from "../EntryEvent.js";
import type { EntryIdentity } from "../EntryIdentity.js";
import type { Scheduler } from "../policy/Scheduler.js";
import type { AgentLink } from "./AgentLink.js";
import { AnswerRetention } from "./AnswerRetention.js";
import type { CollectedRecords } from "./CollectedRecords.js";
import { Job } from "./Job.js";
import type { JobHistories } from "./JobHistories.js";
import { resultFromRecords } from "./resultFromRecords.js";
import { SubmissionLimits } from "./SubmissionLimits.js";
import { TaskDispatcher } from "./TaskDispatcher.js";
import type { TaskResult } from "./TaskResult.js";
import type { TicketIssuer } from "./TicketIssuer.js";
import { ticketKey } from "./ticketKey.js";

/** Time after the deadline in which agents report the tasks that they aborted. */
const GRACE_MS = 2000;

interface Dependencies {
    readonly clock: Clock;
    readonly identity: EntryIdentity;
    readonly configuration: ConfigurationView;
    readonly agents: AgentLink;
    readonly tickets: Pick<TicketIssuer, "refusal" | "use">;
    readonly histories: JobHistories;
    readonly collectRecords: (ticket: Ticket) => Promise<CollectedRecords>;
    readonly createScheduler: () => Scheduler;
}

/** Jobs whose tickets this entry issued: open ones, and finished ones while their answers are kept. */
export class Jobs implements Disposable {
    public static readonly graceMs = GRACE_MS;
    private readonly jobs = new Map<string, Job>();
    private readonly openJobs = new Set<Job>();
    private readonly answers: AnswerRetention;
    private readonly limits: SubmissionLimits;
    private readonly dispatcher: TaskDispatcher;
    private readonly timers = new Map<Job, () => void>();
    private readonly registrations = new DisposableStore();
    private draining = false;

    constructor(private readonly dependencies: Dependencies) {
        this.answers = new AnswerRetention(dependencies.clock, key => {
            this.jobs.delete(key);
            dependencies.histories.record(key, EntryEvent.AnswerDropped);
        });
        this.limits = new SubmissionLimits(dependencies.configuration);
        this.dispatcher = this.registrations.add(
            new TaskDispatcher({
                ...dependencies,
                find: key => this.jobs.get(key),
                openJobs: () => [...this.openJobs],
                setResult: (job, task, result) => {
                    this.setResult(job, task, result);
                },
                stop: (job, fault) => {
                    this.stop(job, fault);
                },
            }),
        );
    }

    /** Number of jobs that have no final answer yet. */
    public get openCount(): number {
        return this.openJobs.size;
    }

    public queued(service: string): number {
        return this.dispatcher.queued(service);
    }

    /** Describes each open job in one line, for a drain that ends before the jobs do. */
    public describeOpenJobs(): readonly string[] {
        return [...this.openJobs].map(job =>
            `job ${job.key} of ${job.ticket.service}: ${job.openAttempts.length} tasks running`
        );
    }

    /** Accepts a new job, joins the existing job with the same ticket and body, or returns a refusal. */
    public submit(ticket: Ticket, request: JobRequest): Either<Fault, Job> {
        const key = ticketKey(ticket);
        const existing = this.find(key);
        if (existing !== undefined) {
            return this.join(existing, request);
        }
        const refusal = this.refusal(ticket, request);
        if (refusal !== undefined) {
            this.dependencies.histories.record(key, EntryEvent.JobRefused, {
                detail: `${refusal.code}: ${refusal.message}`,
            });
            return Left(refusal);
        }
        const job = new Job(ticket, request.ticket, request, this.dependencies.clock.now() + request.deadlineMs);
        this.jobs.set(key, job);
        this.openJobs.add(job);
        const fault = this.dispatcher.admit(job, request);
        if (fault !== undefined) {
            this.jobs.delete(key);
            this.openJobs.delete(job);
            this.dependencies.histories.record(key, EntryEvent.JobRefused, {
                detail: `${fault.code}: ${fault.message}`,
            });
            return Left(fault);
        }
        this.dependencies.tickets.use(ticket.sequence);
        const detail = `${request.tasks.length} tasks of team ${ticket.team} for ${ticket.service}`;
        this.dependencies.histories.record(key, EntryEvent.JobAccepted, { detail });
        this.setDeadline(job);
        this.dispatcher.pump(ticket.service);
        return Right(job);
    }

    /** Job with this ticket key, while it is open or its answer is kept. */
    public find(key: string): Job | undefined {
        this.answers.sweep();
        return this.jobs.get(key);
    }

    /** Fault that explains why this entry knows no job of the ticket. */
    public absenceFault(ticket: Ticket): Fault {
        if (ticket.issuer !== this.dependencies.identity.current.incarnation) {
            return new Fault(FaultCode.IssuerLost, "this entry is not the issuer of the ticket", Verdict.MayHaveRun);
        }
        return this.dependencies.tickets.refusal(ticket.sequence)
            ?? new Fault(FaultCode.NotFound, "no job was submitted under this ticket");
    }

    /** Withdraws queued tasks and asks the agents to abort running ones; the answer follows. */
    public cancel(job: Job): void {
        if (job.finished) {
            return;
        }
        for (const agent of new Set(job.openAttempts.map(attempt => attempt.agent))) {
            const { issuer, sequence } = job.ticket;
            this.dependencies.agents.send(agent, { kind: "cancel", issuer, sequence });
        }
        this.stop(job, new Fault(FaultCode.Cancelled, "the caller cancelled the job"));
        this.dispatcher.pump(job.ticket.service);
    }

    /** Refuses new jobs from now on. */
    public drain(): void {
        this.draining = true;
    }

    /** Settles the open jobs of a fenced incarnation from the agents' records. */
    public async settleOpen(): Promise<void> {
        const fault = new Fault(FaultCode.IssuerFenced, "an agent fenced the issuing incarnation of this entry");
        const jobs = [...this.openJobs];
        await Promise.all(jobs.map(async job => {
            this.stop(job, fault);
            const settled = job.finished ? undefined : await this.dependencies.collectRecords(job.ticket);
            for (const { task } of settled === undefined ? [] : job.openAttempts) {
                this.dispatcher.abandon(job, task, resultFromRecords(settled as CollectedRecords, task));
            }
        }));
    }

    public dispose(): void {
        for (const cancel of this.timers.values()) {
            cancel();
        }
        this.timers.clear();
        this.registrations.dispose();
    }

    private join(job: Job, request: JobRequest): Either<Fault, Job> {
        if (job.digest !== Job.digest(request)) {
            const message = "the ticket was used for a job with a different body; no task of this submission was run";
            this.dependencies.histories.record(job.key, EntryEvent.JobRefused, { detail: FaultCode.TicketConflict });
            return Left(new Fault(FaultCode.TicketConflict, message));
        }
        this.dependencies.histories.record(job.key, EntryEvent.JobJoined);
        return Right(job);
    }

    private refusal(ticket: Ticket, request: JobRequest): Fault | undefined {
        if (ticket.issuer !== this.dependencies.identity.current.incarnation) {
            return new Fault(FaultCode.IssuerLost, "this entry is not the issuer of the ticket", Verdict.MayHaveRun);
        }
        const ticketFault = this.dependencies.tickets.refusal(ticket.sequence);
        if (ticketFault !== undefined) {
            return ticketFault;
        }
        if (this.draining) {
            return new Fault(
                FaultCode.Draining,
                "this entry is draining; get a ticket from another one",
                Verdict.NotRun,
                0,
            );
        }
        if (ticket.service !== request.service) {
            const message = `the ticket is for service ${ticket.service}`;
            return new Fault(FaultCode.BadInput, message, Verdict.NotRun, undefined, "service");
        }
        return this.limits.refusal(request) ?? this.refuseWithoutAgents(ticket);
    }

    private refuseWithoutAgents(ticket: Ticket): Fault | undefined {
        return ticket.agents.some(agent => this.dependencies.agents.mayRun(agent.incarnation))
            ? undefined
            : new Fault(
                FaultCode.NoAgents,
                "no agent of the ticket is available any more; get a new ticket",
                Verdict.NotRun,
                0,
            );
    }

    private setDeadline(job: Job): void {
        this.timers.set(
            job,
            this.dependencies.clock.schedule(job.deadlineAt - this.dependencies.clock.now(), () => {
                this.reachDeadline(job);
            }),
        );
    }

    private reachDeadline(job: Job): void {
        this.stop(job, new Fault(FaultCode.DeadlineExceeded, "the deadline passed before the task was started"));
        for (const attempt of job.openAttempts.filter(open => !open.known)) {
            this.abandon(job, attempt.task, FaultCode.AgentLost, "the agent was lost and did not return in time");
        }
        if (job.finished) {
            return;
        }
        this.timers.set(
            job,
            this.dependencies.clock.schedule(GRACE_MS, () => {
                for (const attempt of job.openAttempts) {
                    this.abandon(job, attempt.task, FaultCode.DeadlineExceeded, "the task did not end by the deadline");
                }
            }),
        );
    }

    private abandon(job: Job, task: number, code: FaultCode, message: string): void {
        this.dispatcher.abandon(job, task, { ok: false, verdict: Verdict.MayHaveRun, error: { code, message } });
    }

    /** Starts no further task of the job and withdraws its queued tasks. The first stop reason is kept. */
    private stop(job: Job, fault: Fault): void {
        if (job.finished) {
            return;
        }
        if (job.stopReason === undefined) {
            job.stopReason = { code: fault.code, message: fault.message };
            this.dependencies.histories.record(job.key, EntryEvent.JobStopped, {
                detail: `${fault.code}: ${fault.message}`,
            });
        }
        this.dispatcher.withdrawAll(job);
    }

    private setResult(job: Job, task: number, result: TaskResult): void {
        if (job.setResult(task, result)) {
            this.finish(job, job.answer);
            return;
        }
        if (!result.ok && job.stopOnFailure && job.stopReason === undefined) {
            const message = `task ${task} failed: ${result.error?.message ?? "no reason given"}`;
            this.stop(job, new Fault(FaultCode.Stopped, message));
        }
    }

    private finish(job: Job, answer: JobAnswer): void {
        this.timers.get(job)?.();
        this.timers.delete(job);
        this.openJobs.delete(job);
        const event = answer.state === JobState.Complete ? EntryEvent.JobComplete : EntryEvent.JobFailed;
        this.dependencies.histories.record(job.key, event, { detail: answer.reason?.message });
        this.answers.add(job.key, answer);
    }
}
