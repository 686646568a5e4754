import { match } from "ts-pattern";
import type { Clock } from "../../common/Clock.js";
import { CoalescingTimer } from "../../common/CoalescingTimer.js";
import type { Disposable } from "../../common/Disposable.js";
import type { JobSubmission } from "../../common/leased/JobSubmission.js";
import { LEASE_TIMES } from "../../common/leased/LEASE_TIMES.js";
import type { Route } from "../../common/leased/Route.js";
import type { RunCompletion } from "../../common/leased/RunCompletion.js";
import { RunResult } from "../../common/leased/RunResult.js";
import type { Log } from "../../common/log/Log.js";
import type { Metrics } from "../../common/Metrics.js";
import type { Random } from "../../common/Random.js";
import { Verdict } from "../../common/Verdict.js";
import type { AgentChannels } from "./AgentChannels.js";
import type { AgentHealth } from "./AgentHealth.js";
import type { AgentView } from "./AgentView.js";
import { EntryLeaseEvent } from "./EntryLeaseEvent.js";
import { findRefusal } from "./findRefusal.js";
import { frontOfQueue } from "./frontOfQueue.js";
import { hasReadyTask } from "./hasReadyTask.js";
import type { JobOutcome } from "./JobOutcome.js";
import { JobTable } from "./JobTable.js";
import type { LeasedJob } from "./LeasedJob.js";
import type { LeasedJobOrdering } from "./LeasedJobOrdering.js";
import type { LeasedPlacement } from "./LeasedPlacement.js";
import type { LeasedTask } from "./LeasedTask.js";
import { newJob } from "./newJob.js";
import { pickRetryAfter } from "./pickRetryAfter.js";
import { placedTasks } from "./placedTasks.js";
import type { QueueTimeout } from "./QueueTimeout.js";
import { TaskPlacer } from "./TaskPlacer.js";
import { TaskState } from "./TaskState.js";
import { unblockTasks } from "./unblockTasks.js";

/** How often placement is tried again for waiting jobs while nothing else happens. */
const QUEUE_CHECK_INTERVAL_MS = 10;

/** How often the deadlines of jobs are checked while none of them waits. */
const DEADLINE_CHECK_INTERVAL_MS = 50;

/** Delay from a load report to the next placement pass over the waiting jobs, so that one pass uses several reports. */
const REPORT_BATCH_DELAY_MS = 3;

/** Owns the open jobs of an entry: their queue, placement, retries and answers. */
export class Dispatcher implements Disposable {
    private readonly jobs = new JobTable();
    private readonly placer: TaskPlacer;
    private readonly passTimer: CoalescingTimer;
    /** Number of jobs with tasks for which the last placement pass found no endpoint. */
    private waitingJobs = 0;

    constructor(
        private readonly channels: AgentChannels,
        private readonly health: AgentHealth,
        placement: LeasedPlacement,
        private readonly ordering: LeasedJobOrdering,
        private readonly queueTimeout: QueueTimeout,
        private readonly clock: Clock,
        private readonly log: Log,
        private readonly metrics: Metrics,
        private readonly random: Random,
    ) {
        this.passTimer = new CoalescingTimer(clock, () => {
            this.placeWaitingJobs();
        });
        this.placer = new TaskPlacer(channels, placement, log, metrics);
        channels.onRunsFinished(({ agent, runs }) => {
            runs.forEach(completion => {
                this.handleCompletion(agent, completion);
            });
        });
        channels.onAgentLost(agent => {
            this.handleAgentLoss(agent);
        });
        channels.onLoadReport(() => {
            this.schedulePassIfWaiting();
        });
    }

    public get size(): number {
        return this.jobs.size;
    }

    /** Number of jobs of a route of which no task has been sent to an agent yet. */
    public pending(route: string): number {
        return this.jobs.all.filter(job => job.route.name === route && !job.dispatched).length;
    }

    /**
     * Runs a job and resolves with its outcome. A submission of a job that is already open waits for the same outcome.
     * `budgetMs` is how long the caller waits; `disconnected` aborts when the caller closes its connection, and may have
     * aborted before.
     */
    public submit(
        submission: JobSubmission,
        route: Route,
        budgetMs: number,
        disconnected: AbortSignal,
    ): Promise<JobOutcome> {
        const keptAnswer = this.jobs.answerOf(submission.id);
        if (keptAnswer !== undefined) {
            return Promise.resolve(keptAnswer);
        }
        const openJob = this.jobs.get(submission.id);
        const job = openJob ?? this.accept(submission, route, budgetMs);
        if (openJob !== undefined) {
            this.log.write(EntryLeaseEvent.JobJoined, { job: submission.id });
        }
        job.callers += 1;
        if (disconnected.aborted) {
            this.handleDisconnect(job);
        }
        else {
            disconnected.addEventListener("abort", () => {
                this.handleDisconnect(job);
            }, { once: true });
        }
        return job.outcome;
    }

    /** State of a job that is open, or that has completed or failed recently. */
    public stateOf(id: string): "queued" | "active" | "completed" | "failed" | undefined {
        const job = this.jobs.get(id);
        if (job !== undefined) {
            return job.dispatched ? "active" : "queued";
        }
        const keptAnswer = this.jobs.answerOf(id);
        return keptAnswer === undefined || keptAnswer.kind === "refused" ? undefined : keptAnswer.kind;
    }

    /** Cancels an open job; returns false when there is none with this id. */
    public cancel(id: string): boolean {
        const job = this.jobs.get(id);
        if (job !== undefined) {
            const verdict = job.dispatched ? Verdict.MayHaveRun : Verdict.NotRun;
            this.answer(job, { kind: "refused", verdict, reason: "cancelled", retryAfterMs: 0 });
        }
        return job !== undefined;
    }

    public dispose(): void {
        this.passTimer.dispose();
    }

    private accept(submission: JobSubmission, route: Route, budgetMs: number): LeasedJob {
        const job = newJob(submission, route, this.clock.now(), budgetMs);
        this.jobs.add(job);
        this.metrics.increment("jobs.taken");
        this.log.write(EntryLeaseEvent.JobAccepted, {
            job: submission.id,
            route: route.name,
            tasks: job.tasks.length,
            chainMs: Math.round(job.criticalPathMs),
            budgetMs,
            queued: this.jobs.size,
        });
        this.passTimer.fireWithin(0);
        return job;
    }

    private handleDisconnect(job: LeasedJob): void {
        job.callers -= 1;
        if (job.callers > 0 || !this.jobs.isOpen(job)) {
            return;
        }
        this.log.write(EntryLeaseEvent.CallerDisconnected, { job: job.submission.id, offered: job.dispatched });
        this.cancel(job.submission.id);
    }

    private handleCompletion(agent: AgentView, completion: RunCompletion): void {
        agent.tasks.delete(completion.task);
        const found = this.jobs.findTask(completion.task);
        if (found === undefined) {
            return;
        }
        const { job, task } = found;
        if (task.state !== TaskState.Placed || task.agent !== agent.id) {
            const { state, agent: holder } = task;
            this.log.write(EntryLeaseEvent.CompletionIgnored, { ...completion, agent: agent.id, state, holder });
            return;
        }
        task.agent = undefined;
        task.nextRun = Math.max(task.nextRun, completion.run + 1);
        match(completion.result)
            .with(RunResult.Done, () => {
                this.health.recordSuccess(agent.id);
                this.metrics.timing("task.run_ms", completion.ranMs);
                this.handleDone(job, task);
            })
            .with(RunResult.Failed, () => {
                this.handleFailure(agent, job, task, completion);
            })
            .with(RunResult.Refused, () => {
                task.excludedAgents.add(agent.id);
                this.recordJobFailure(agent.id, job);
                this.requeue(agent, job, task, completion);
            })
            .with(RunResult.Stopped, RunResult.NotStarted, () => {
                this.requeue(agent, job, task, completion);
            })
            .with(RunResult.Superseded, () => this.refuse(job, Verdict.MayHaveRun, "submitted again at another entry"))
            .exhaustive();
    }

    private handleDone(job: LeasedJob, task: LeasedTask): void {
        task.state = TaskState.Done;
        if (job.tasks.every(other => other.state === TaskState.Done)) {
            this.answer(job, { kind: "completed" });
            return;
        }
        if (unblockTasks(job)) {
            this.passTimer.fireWithin(0);
        }
    }

    private handleFailure(agent: AgentView, job: LeasedJob, task: LeasedTask, completion: RunCompletion): void {
        task.failures += 1;
        task.excludedAgents.add(agent.id);
        if (task.failures === 1) {
            this.recordJobFailure(agent.id, job);
        }
        if (task.failures >= job.route.maxAttempts) {
            this.answer(job, {
                kind: "failed",
                reason: `task ${task.name} failed ${task.failures} times, as often as its route allows`,
            });
            return;
        }
        this.requeue(agent, job, task, completion);
    }

    private recordJobFailure(agent: string, job: LeasedJob): void {
        if (this.health.recordFailure(agent, job.submission.id, [...this.channels.agents].length)) {
            this.log.write(EntryLeaseEvent.AgentEjected, { agent, job: job.submission.id });
        }
    }

    private requeue(agent: AgentView, job: LeasedJob, task: LeasedTask, completion: RunCompletion): void {
        task.state = TaskState.Ready;
        const { result, reason, run } = completion;
        this.log.write(EntryLeaseEvent.TaskRequeued, {
            job: job.submission.id,
            task: task.name,
            run,
            agent: agent.id,
            result,
            reason,
        });
        this.passTimer.fireWithin(0);
    }

    private handleAgentLoss(agent: AgentView): void {
        this.health.forget(agent.id);
        for (const name of agent.tasks) {
            const found = this.jobs.findTask(name);
            if (found?.task.state === TaskState.Placed && found.task.agent === agent.id) {
                const { job, task } = found;
                task.state = TaskState.Unknown;
                task.agent = undefined;
                this.clock.schedule(LEASE_TIMES.LOST_RUN_EXPIRY_MS, () => {
                    this.handleLostRunExpiry(agent, job, task);
                });
            }
        }
    }

    private handleLostRunExpiry(agent: AgentView, job: LeasedJob, task: LeasedTask): void {
        if (this.jobs.isOpen(job) && task.state === TaskState.Unknown) {
            task.nextRun += 1;
            const { name, nextRun: run } = task;
            const reason = "agent lost, its leases have expired";
            this.requeue(agent, job, task, { task: name, run, result: RunResult.Stopped, ranMs: 0, reason });
        }
    }

    private answer(job: LeasedJob, outcome: JobOutcome): void {
        const { id } = job.submission;
        this.jobs.close(job, outcome);
        this.abortPlacedTasks(job, outcome.kind);
        const elapsedMs = Math.round(this.clock.now() - job.arrivedAt);
        this.metrics.increment(`jobs.${outcome.kind}`);
        this.metrics.timing("job.elapsed_ms", elapsedMs);
        const inTarget = this.clock.now() <= job.targetAt;
        this.log.write(EntryLeaseEvent.JobAnswered, {
            job: id,
            ...outcome,
            elapsedMs,
            inTarget,
            offered: job.dispatched,
        });
        job.settle(outcome);
        this.passTimer.fireWithin(0);
    }

    private abortPlacedTasks(job: LeasedJob, reason: string): void {
        for (const [agent, tasks] of placedTasks(job)) {
            this.channels.get(agent)?.channel.send({ kind: "abort", tasks, reason: `job ${reason}` });
        }
    }

    /**
     * Schedules a placement pass if jobs wait, with a short delay so that it can use the reports of other agents too.
     */
    private schedulePassIfWaiting(): void {
        if (this.waitingJobs > 0) {
            this.passTimer.fireWithin(REPORT_BATCH_DELAY_MS);
        }
    }

    /**
     * Refuses the jobs that have waited or run too long, then places tasks of the others, in the order of the queue.
     */
    private placeWaitingJobs(): void {
        const now = this.clock.now();
        this.refuseOverdueJobs(now);
        const ready = this.jobs.all.filter(hasReadyTask);
        this.placer.place(frontOfQueue(ready, this.ordering, now), now);
        this.waitingJobs = ready.length === 0 ? 0 : ready.filter(hasReadyTask).length;
        if (this.jobs.size > 0) {
            this.passTimer.fireWithin(this.waitingJobs > 0 ? QUEUE_CHECK_INTERVAL_MS : DEADLINE_CHECK_INTERVAL_MS);
        }
    }

    private refuseOverdueJobs(now: number): void {
        for (const job of this.jobs.all) {
            const refusal = findRefusal(job, now, this.queueTimeout, this.channels.agents);
            if (refusal !== undefined) {
                this.refuse(job, refusal.verdict, refusal.reason);
            }
        }
    }

    private refuse(job: LeasedJob, verdict: Verdict, reason: string): void {
        this.answer(job, { kind: "refused", verdict, reason, retryAfterMs: pickRetryAfter(this.random) });
    }
}
