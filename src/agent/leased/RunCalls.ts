import { match } from "ts-pattern";
import type { Clock } from "../../common/Clock.js";
import { LEASE_TIMES } from "../../common/leased/LEASE_TIMES.js";
import { RunResult } from "../../common/leased/RunResult.js";
import type { Log } from "../../common/log/Log.js";
import type { EndpointReport } from "./EndpointReport.js";
import type { EndpointSession } from "./EndpointSession.js";
import { isSameIncarnation } from "./isSameIncarnation.js";
import type { LateStarts } from "./LateStarts.js";
import { LeaseEvent } from "./LeaseEvent.js";
import type { OrderedRun } from "./OrderedRun.js";
import { RunPhase } from "./RunPhase.js";
import type { RunTable } from "./RunTable.js";
import { StartOutcome } from "./StartOutcome.js";
import { StartTimeout } from "./StartTimeout.js";
import { StopOutcome } from "./StopOutcome.js";

/** Interval at which a stop is repeated until its run is known to have ended. */
const STOP_REPEAT_MS = 60;

/** Timeout for the response to a stop. */
const STOP_TIMEOUT_MS = 100;

/**
 * Maximum number of starts for one order, each with a higher run number, before the agent returns the task to its
 * entry.
 */
const MAX_STARTS = 4;

/** Callbacks to the owner of the runs. */
interface RunOwner {
    /** Handles a run of which a list of the current incarnation shows that it has ended or will never begin. */
    finish(run: OrderedRun, result: RunResult, reason: string): void;
    /**
     * Handles a run that is over without such a list. A task that has an unanswered start stays here until the start is
     * ruled out.
     */
    finishUnlisted(run: OrderedRun, result: RunResult, reason: string): void;
    /** Blocks starts until the next run list, because the endpoint has less free capacity than the agent calculated. */
    blockStarts(): void;
    /** Checks regularly for runs whose next stop call is due, until none is left. */
    watchStops(): void;
}

/** Starts and stops single runs at the endpoint, and determines what became of calls that were not answered. */
export class RunCalls {
    private readonly startTimeout = new StartTimeout();
    private readonly orphanStopDueAt = new Map<string, number>();

    constructor(
        private readonly session: EndpointSession,
        private readonly table: RunTable,
        private readonly lateStarts: LateStarts,
        private readonly owner: RunOwner,
        private readonly clock: Clock,
        private readonly log: Log,
    ) {}

    /**
     * Whether a start may still take effect. A limit far in the future was calculated on the clock of an earlier
     * incarnation.
     */
    public isInStartWindow(run: OrderedRun): boolean {
        const clockMs = this.session.clockMs ?? Number.POSITIVE_INFINITY;
        return clockMs < run.startBeforeMs && run.startBeforeMs <= clockMs + 2 * LEASE_TIMES.START_WINDOW_MS;
    }

    /**
     * Whether the start window of a run was over when a call at `sentAt` was executed. No clock of an endpoint is fast,
     * so the estimate minus the time since then is not ahead of its clock at that time.
     */
    public isAfterStartWindow(run: OrderedRun, sentAt: number): boolean {
        const { clockMs } = this.session;
        return clockMs !== undefined && clockMs - (this.clock.now() - sentAt) >= run.startBeforeMs;
    }

    /** Starts a waiting run and handles the response. */
    public async start(run: OrderedRun): Promise<void> {
        const report = this.session.report;
        if (report === undefined) {
            this.owner.finishUnlisted(run, RunResult.NotStarted, "no endpoint known");
            return;
        }
        run.phase = RunPhase.Starting;
        run.starts += 1;
        const number = run.run;
        const sentAt = this.clock.now();
        const fence = this.session.fence;
        const response = await this.session.control.start({
            endpoint: report.life.id,
            fence,
            task: run.task,
            run: number,
            spec: run.spec,
            untilMs: Math.min(run.startBeforeMs, this.session.leaseLimitMs),
            timeoutMs: this.startTimeout.timeoutMs,
        });
        this.session.observeClock(response.clockMs, report);
        this.startTimeout.observe(this.clock.now() - sentAt);
        const listed = this.table.isCurrent(run) && run.run === number && run.startedAt !== undefined;
        if (response.outcome === StartOutcome.Unanswered && !listed) {
            this.lateStarts.add(run.task, number);
            this.session.outdateFence(fence);
        }
        if (!this.isStarting(run) || run.run !== number) {
            return;
        }
        this.handleStartResponse(run, response.outcome, fence);
    }

    /** Stops a run for `reason`, as soon as its phase allows. */
    public stop(run: OrderedRun, reason: string): void {
        run.stopReason ??= reason;
        run.restartAfterStop = false;
        if (run.phase === RunPhase.Waiting) {
            this.owner.finishUnlisted(run, RunResult.NotStarted, reason);
        }
        else if (run.phase === RunPhase.Running) {
            run.phase = RunPhase.Stopping;
            this.sendStop(run);
        }
    }

    /**
     * Stops a run that may or may not be there. It ends once a stop has been accepted and a run list shows that it is
     * not there.
     */
    public stopUncertain(run: OrderedRun, reason: string): void {
        run.stopReason ??= reason;
        run.restartAfterStop = false;
        run.startedAt = undefined;
        run.endpointLost = true;
        run.phase = RunPhase.Stopping;
        this.sendStop(run);
    }

    /**
     * Starts the task again under the next run number, or returns it when its start window has passed or its starts are
     * used up. `evidence` says for the log why no earlier run is there.
     */
    public startNext(run: OrderedRun, evidence: string): void {
        const wanted = run.stopReason === undefined && this.session.isRegistered;
        if (!wanted || run.starts >= MAX_STARTS || !this.isInStartWindow(run)) {
            this.owner.finish(run, RunResult.NotStarted, run.stopReason ?? "start not confirmed in time");
            return;
        }
        this.log.write(LeaseEvent.StartRepeated, { task: run.task, run: run.run, starts: run.starts, evidence });
        run.run += 1;
        run.startedAt = undefined;
        run.restartAfterStop = false;
        void this.start(run);
    }

    /** Marks a run as confirmed by the endpoint. */
    public markRunning(run: OrderedRun): void {
        run.phase = RunPhase.Running;
        run.startedAt = this.clock.now();
        if (run.stopReason !== undefined) {
            this.stop(run, run.stopReason);
        }
    }

    /**
     * Stops a run that no attached entry has ordered, such as one that an earlier process of this agent has started.
     */
    public stopOrphanedRun(task: string, number: number): void {
        const dueAt = this.orphanStopDueAt.get(task) ?? 0;
        if (this.clock.now() < dueAt) {
            return;
        }
        this.orphanStopDueAt.set(task, this.clock.now() + STOP_REPEAT_MS);
        this.log.write(LeaseEvent.OrphanedRunStopped, { task, run: number });
        void this.callStopOf(task, number);
    }

    /** Sends a stop, which is repeated until the run is known to have ended. */
    public sendStop(run: OrderedRun): void {
        run.stopDueAt = this.clock.now() + STOP_REPEAT_MS;
        void this.callStop(run, run.run);
        this.owner.watchStops();
    }

    private handleStartResponse(run: OrderedRun, outcome: StartOutcome, fence: number): void {
        if (outcome !== StartOutcome.Started && outcome !== StartOutcome.Unanswered) {
            this.log.write(LeaseEvent.StartRejected, { task: run.task, run: run.run, outcome });
        }
        match(outcome)
            .with(StartOutcome.Started, () => {
                this.markRunning(run);
            })
            .with(StartOutcome.Unanswered, () => {
                void this.resolveUnanswered(run);
            })
            .with(StartOutcome.NoRoom, () => {
                this.owner.blockStarts();
                this.waitForRoom(run);
            })
            .with(StartOutcome.Stale, () => {
                void this.resolveRejected(run);
            })
            .with(StartOutcome.Fenced, () => {
                this.session.raiseFence(fence);
                void this.resolveRejected(run);
            })
            .with(StartOutcome.Unhealthy, () => {
                this.owner.finishUnlisted(run, RunResult.Refused, outcome);
            })
            .with(StartOutcome.Invalid, () => {
                this.owner.finishUnlisted(run, RunResult.Failed, outcome);
            })
            .with(StartOutcome.Late, StartOutcome.OtherIncarnation, StartOutcome.Unreachable, () => {
                this.owner.finishUnlisted(run, RunResult.NotStarted, outcome);
            })
            .exhaustive();
    }

    /** Lets a run that was not started wait for free capacity, unless it was stopped meanwhile. */
    private waitForRoom(run: OrderedRun): void {
        run.phase = RunPhase.Waiting;
        if (run.stopReason !== undefined) {
            this.stop(run, run.stopReason);
        }
    }

    /**
     * An unanswered start may have taken effect: a run list shows whether it has, and an accepted stop prevents that it
     * still does.
     */
    private async resolveUnanswered(run: OrderedRun): Promise<void> {
        this.log.write(LeaseEvent.StartUnanswered, { task: run.task, run: run.run, starts: run.starts });
        await this.session.pollNow();
        if (!this.isStarting(run)) {
            return;
        }
        if (this.session.isLost) {
            this.owner.finishUnlisted(run, RunResult.Stopped, "endpoint lost");
            return;
        }
        run.restartAfterStop = run.stopReason === undefined;
        run.phase = RunPhase.Stopping;
        this.sendStop(run);
    }

    /**
     * An earlier run, which made the run number or the fence stale, may still be there: only a run list can show that
     * it has ended.
     */
    private async resolveRejected(run: OrderedRun): Promise<void> {
        run.restartAfterStop = run.stopReason === undefined;
        run.phase = RunPhase.Stopping;
        run.stopDueAt = this.clock.now() + STOP_REPEAT_MS;
        this.owner.watchStops();
        await this.resolveByList(run, run.run, this.session.report);
    }

    private async callStop(run: OrderedRun, number: number): Promise<void> {
        const report = this.session.report;
        const outcome = await this.callStopOf(run.task, number);
        if (outcome === StopOutcome.Accepted && this.isStoppingUnconfirmed(run, number)) {
            await this.resolveByList(run, number, report);
        }
    }

    /**
     * Determines the outcome of a run after the incarnation of `before` has answered that it cannot begin any more: a
     * list of the same incarnation that was requested after that shows whether it had begun before. Without such a
     * list, the next stop leads here again.
     */
    private async resolveByList(run: OrderedRun, number: number, before: EndpointReport | undefined): Promise<void> {
        const sentAt = this.clock.now();
        const list = await this.session.pollNow();
        const listed = list?.running.filter(({ task }) => task === run.task);
        this.log.write(LeaseEvent.UnconfirmedRunPolled, {
            task: run.task,
            run: number,
            lookMs: Math.round(this.clock.now() - sentAt),
            answered: list !== undefined,
            listed: listed?.map(other => other.run),
        });
        const { report } = this.session;
        const sameIncarnation = before !== undefined && report !== undefined && isSameIncarnation(before, report);
        if (listed?.length !== 0 || !sameIncarnation || !this.isStoppingUnconfirmed(run, number)) {
            return;
        }
        if (run.restartAfterStop) {
            this.startNext(run, "no run listed");
        }
        else {
            this.owner.finish(run, RunResult.NotStarted, run.stopReason ?? "stopped before its start was confirmed");
        }
    }

    private async callStopOf(task: string, run: number): Promise<StopOutcome> {
        const fence = this.session.fence;
        const { report } = this.session;
        const endpoint = report?.life.id ?? "";
        const response = await this.session.control.stop({ endpoint, fence, task, run, timeoutMs: STOP_TIMEOUT_MS });
        this.session.observeClock(response.clockMs, report);
        if (response.outcome === StopOutcome.Fenced) {
            this.session.raiseFence(fence);
        }
        return response.outcome;
    }

    private isStarting(run: OrderedRun): boolean {
        return this.table.isCurrent(run) && run.phase === RunPhase.Starting;
    }

    private isStoppingUnconfirmed(run: OrderedRun, number: number): boolean {
        const current = this.table.isCurrent(run) && run.run === number;
        return current && run.phase === RunPhase.Stopping && run.startedAt === undefined;
    }

    /** Discards the state of an earlier incarnation. */
    public reset(): void {
        this.orphanStopDueAt.clear();
    }
}
