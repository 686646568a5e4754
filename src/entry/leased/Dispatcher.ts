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
import { isReady } from "./isReady.js";
import type { JobOrdering } from "./JobOrdering.js";
import type { JobOutcome } from "./JobOutcome.js";
import { JobTable } from "./JobTable.js";
import type { LeasedJob } from "./LeasedJob.js";
import type { LeasedPlacement } from "./LeasedPlacement.js";
import type { LeasedTask } from "./LeasedTask.js";
import { newJob } from "./newJob.js";
import type { Patience } from "./Patience.js";
import { pickRetryAfter } from "./pickRetryAfter.js";
import { placedTasks } from "./placedTasks.js";
import { TaskPlacer } from "./TaskPlacer.js";
import { TaskState } from "./TaskState.js";
import { unblockTasks } from "./unblockTasks.js";

/** How often waiting jobs are looked at while nothing else happens. */
const TICK_MS = 10;

/** How often jobs are looked at for their deadlines while none of them waits. */
const IDLE_TICK_MS = 50;

/** Time from a report of free room to the next pass over the waiting jobs, so that one pass answers several reports. */
const PASS_SPACING_MS = 3;

/** Task that owns the jobs of an entry: their queue, placement, retries and answers. */
export class Dispatcher implements Disposable {
    private readonly jobs = new JobTable();
    private readonly placer: TaskPlacer;
    private readonly passes: CoalescingTimer;
    /** Jobs with tasks that found no room in the last pass. */
    private waiting = 0;

    constructor(
        private readonly channels: AgentChannels,
        private readonly health: AgentHealth,
        placement: LeasedPlacement,
        private readonly ordering: JobOrdering,
        private readonly patience: Patience,
        private readonly clock: Clock,
        private readonly log: Log,
        private readonly metrics: Metrics,
        private readonly random: Random,
    ) {
        this.passes = new CoalescingTimer(clock, () => {
            this.pass();
        });
        this.placer = new TaskPlacer(channels, placement, log, metrics);
        channels.onEnded(({ agent, runs }) => {
            runs.forEach(end => {
                this.takeEnd(agent, end);
            });
        });
        channels.onLost(agent => {
            this.takeLoss(agent);
        });
        channels.onLoad(() => {
            this.passWhenReady();
        });
    }

    public get size(): number {
        return this.jobs.size;
    }

    /** Jobs of a route for which no task was ordered yet. */
    public pending(route: string): number {
        return this.jobs.all.filter(job => job.route.name === route && !job.offered).length;
    }

    /**
     * Runs a job and resolves with its outcome. A job that is already here is joined. `budgetMs` is how long the caller
     * waits; `left` aborts when the caller has gone.
     */
    public submit(order: JobSubmission, route: Route, budgetMs: number, left: AbortSignal): Promise<JobOutcome> {
        const kept = this.jobs.answerOf(order.id);
        if (kept !== undefined) {
            return Promise.resolve(kept);
        }
        const known = this.jobs.get(order.id);
        const job = known ?? this.take(order, route, budgetMs);
        if (known !== undefined) {
            this.log.write(EntryLeaseEvent.JobJoined, { job: order.id });
        }
        job.callers += 1;
        left.addEventListener("abort", () => {
            this.callerLeft(job);
        }, { once: true });
        return job.outcome;
    }

    /** State of a job that is here or was answered lately. */
    public stateOf(id: string): "queued" | "active" | "completed" | "failed" | undefined {
        const job = this.jobs.get(id);
        if (job !== undefined) {
            return job.offered ? "active" : "queued";
        }
        const kept = this.jobs.answerOf(id);
        return kept === undefined || kept.kind === "refused" ? undefined : kept.kind;
    }

    /** Cancels a job; returns false when it is not here. */
    public cancel(id: string): boolean {
        const job = this.jobs.get(id);
        if (job !== undefined) {
            const verdict = job.offered ? Verdict.MayHaveRun : Verdict.NotRun;
            this.answer(job, { kind: "refused", verdict, reason: "cancelled", retryAfterMs: 0 });
        }
        return job !== undefined;
    }

    public dispose(): void {
        this.passes.dispose();
    }

    private take(order: JobSubmission, route: Route, budgetMs: number): LeasedJob {
        const job = newJob(order, route, this.clock.now(), budgetMs);
        this.jobs.add(job);
        this.metrics.increment("jobs.taken");
        this.log.write(EntryLeaseEvent.JobTaken, {
            job: order.id,
            route: route.name,
            tasks: job.tasks.length,
            chainMs: Math.round(job.chainMs),
            budgetMs,
            queued: this.jobs.size,
        });
        this.passes.fireWithin(0);
        return job;
    }

    private callerLeft(job: LeasedJob): void {
        job.callers -= 1;
        if (job.callers > 0 || !this.jobs.holds(job)) {
            return;
        }
        this.log.write(EntryLeaseEvent.CallerLeft, { job: job.order.id, offered: job.offered });
        this.cancel(job.order.id);
    }

    private takeEnd(agent: AgentView, end: RunCompletion): void {
        agent.tasks.delete(end.task);
        const found = this.jobs.findTask(end.task);
        if (found === undefined || found.task.state !== TaskState.Placed || found.task.agent !== agent.id) {
            return;
        }
        const { job, task } = found;
        task.agent = undefined;
        task.run = Math.max(task.run, end.run + 1);
        match(end.result)
            .with(RunResult.Done, () => {
                this.health.succeeded(agent.id);
                this.metrics.timing("task.run_ms", end.ranMs);
                this.takeDone(job, task);
            })
            .with(RunResult.Failed, () => {
                this.takeFailure(agent, job, task, end);
            })
            .with(RunResult.Refused, () => {
                task.avoided.add(agent.id);
                this.noteFailure(agent.id, job);
                this.giveBack(job, task, end);
            })
            .with(RunResult.Stopped, RunResult.NotStarted, () => {
                this.giveBack(job, task, end);
            })
            .with(RunResult.Superseded, () => this.refuse(job, Verdict.MayHaveRun, "submitted again at another entry"))
            .exhaustive();
    }

    private takeDone(job: LeasedJob, task: LeasedTask): void {
        task.state = TaskState.Done;
        if (job.tasks.every(other => other.state === TaskState.Done)) {
            this.answer(job, { kind: "completed" });
            return;
        }
        if (unblockTasks(job)) {
            this.passes.fireWithin(0);
        }
    }

    private takeFailure(agent: AgentView, job: LeasedJob, task: LeasedTask, end: RunCompletion): void {
        task.failures += 1;
        task.avoided.add(agent.id);
        if (task.failures === 1) {
            this.noteFailure(agent.id, job);
        }
        if (task.failures >= job.route.maxAttempts) {
            this.answer(job, { kind: "failed", reason: `task ${task.name} failed ${task.failures} times` });
            return;
        }
        this.giveBack(job, task, end);
    }

    private noteFailure(agent: string, job: LeasedJob): void {
        if (this.health.failed(agent, job.order.id, [...this.channels.agents].length)) {
            this.log.write(EntryLeaseEvent.AgentEjected, { agent, job: job.order.id });
        }
    }

    private giveBack(job: LeasedJob, task: LeasedTask, end: RunCompletion): void {
        task.state = TaskState.Ready;
        const { result, reason, run } = end;
        this.log.write(EntryLeaseEvent.TaskReturned, { job: job.order.id, task: task.name, run, result, reason });
        this.passes.fireWithin(0);
    }

    private takeLoss(agent: AgentView): void {
        this.health.forget(agent.id);
        for (const name of agent.tasks) {
            const found = this.jobs.findTask(name);
            if (found?.task.state === TaskState.Placed && found.task.agent === agent.id) {
                const { job, task } = found;
                task.state = TaskState.Unknown;
                task.agent = undefined;
                this.clock.schedule(LEASE_TIMES.LOST_RUN_EXPIRY_MS, () => {
                    this.takeLapse(job, task);
                });
            }
        }
    }

    private takeLapse(job: LeasedJob, task: LeasedTask): void {
        if (this.jobs.holds(job) && task.state === TaskState.Unknown) {
            task.run += 1;
            const { name, run } = task;
            this.giveBack(job, task, { task: name, run, result: RunResult.Stopped, ranMs: 0, reason: "agent lost" });
        }
    }

    private answer(job: LeasedJob, outcome: JobOutcome): void {
        const { id } = job.order;
        this.jobs.end(job, outcome);
        this.abortRest(job, outcome.kind);
        const elapsedMs = Math.round(this.clock.now() - job.arrivedAt);
        this.metrics.increment(`jobs.${outcome.kind}`);
        this.metrics.timing("job.elapsed_ms", elapsedMs);
        const inTarget = this.clock.now() <= job.targetAt;
        this.log.write(EntryLeaseEvent.JobAnswered, { job: id, ...outcome, elapsedMs, inTarget, offered: job.offered });
        job.settle(outcome);
        this.passes.fireWithin(0);
    }

    private abortRest(job: LeasedJob, reason: string): void {
        for (const [agent, tasks] of placedTasks(job)) {
            this.channels.get(agent)?.channel.send({ kind: "abort", tasks, reason: `job ${reason}` });
        }
    }

    /** Answers a report of room. Jobs that found none before wait a little, for the reports of other agents. */
    private passWhenReady(): void {
        if (this.waiting > 0) {
            this.passes.fireWithin(PASS_SPACING_MS);
        }
    }

    /** Gives free room to the waiting jobs in their order, and ends those whose time is over. */
    private pass(): void {
        const now = this.clock.now();
        this.endOverdue(now);
        const ready = this.jobs.all.filter(isReady);
        this.placer.place(frontOfQueue(ready, this.ordering, now), now);
        this.waiting = ready.length === 0 ? 0 : ready.filter(isReady).length;
        if (this.jobs.size > 0) {
            this.passes.fireWithin(this.waiting > 0 ? TICK_MS : IDLE_TICK_MS);
        }
    }

    private endOverdue(now: number): void {
        for (const job of this.jobs.all) {
            const refusal = findRefusal(job, now, this.patience, this.channels.agents);
            if (refusal !== undefined) {
                this.refuse(job, refusal.verdict, refusal.reason);
            }
        }
    }

    private refuse(job: LeasedJob, verdict: Verdict, reason: string): void {
        this.answer(job, { kind: "refused", verdict, reason, retryAfterMs: pickRetryAfter(this.random) });
    }
}
