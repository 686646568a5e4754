import { match } from "ts-pattern";
import type { Clock } from "../../common/Clock.js";
import { LEASE_TIMES } from "../../common/leased/LEASE_TIMES.js";
import { RunResult } from "../../common/leased/RunResult.js";
import type { Log } from "../../common/log/Log.js";
import type { EndpointReport } from "./EndpointReport.js";
import type { EndpointSession } from "./EndpointSession.js";
import { isSameIncarnation } from "./isSameIncarnation.js";
import { LeaseEvent } from "./LeaseEvent.js";
import type { OrderedRun } from "./OrderedRun.js";
import { RunPhase } from "./RunPhase.js";
import type { RunTable } from "./RunTable.js";
import { StartLatency } from "./StartLatency.js";
import { StartOutcome } from "./StartOutcome.js";
import { StopOutcome } from "./StopOutcome.js";

/** How often a stop is repeated until the end of its run is known. */
const STOP_REPEAT_MS = 60;

/** Wait for the answer to a stop. */
const STOP_TIMEOUT_MS = 100;

/** Starts of one order, each with a higher run number, before the agent gives the task back. */
const MAX_STARTS = 4;

/** What the owner of the runs does for their calls. */
interface RunOwner {
    /** Takes a run that is over. */
    finish(run: OrderedRun, result: RunResult, reason: string): void;
    /** Starts nothing until the next list, because the endpoint has less room than the agent counted. */
    block(): void;
    /** Looks regularly for runs whose stop is due, until none is left. */
    watch(): void;
}

/** Calls to the endpoint that start and stop single runs, and the settling of those that were not answered. */
export class RunCalls {
    private readonly latency = new StartLatency();
    private readonly strangers = new Map<string, number>();

    constructor(
        private readonly session: EndpointSession,
        private readonly table: RunTable,
        private readonly owner: RunOwner,
        private readonly clock: Clock,
        private readonly log: Log,
    ) {}

    /** Whether a start may still take effect. A time far ahead was reckoned on the clock of an earlier life. */
    public inWindow(run: OrderedRun): boolean {
        const clockMs = this.session.clockMs ?? Number.POSITIVE_INFINITY;
        return clockMs < run.startBeforeMs && run.startBeforeMs <= clockMs + 2 * LEASE_TIMES.START_WINDOW_MS;
    }

    /** Starts a run that waited, and takes the answer. */
    public async start(run: OrderedRun): Promise<void> {
        const report = this.session.report;
        if (report === undefined) {
            this.owner.finish(run, RunResult.NotStarted, "no endpoint");
            return;
        }
        run.phase = RunPhase.Starting;
        run.starts += 1;
        const number = run.run;
        const sentAt = this.clock.now();
        const fence = this.session.fence;
        const answer = await this.session.control.start({
            endpoint: report.life.id,
            fence,
            task: run.task,
            run: number,
            spec: run.spec,
            untilMs: Math.min(run.startBeforeMs, this.session.leaseLimitMs),
            timeoutMs: this.latency.timeoutMs,
        });
        this.session.observe(answer.clockMs, report);
        this.latency.observe(this.clock.now() - sentAt);
        if (!this.isStarting(run) || run.run !== number) {
            return;
        }
        if (this.session.report === undefined) {
            this.owner.finish(run, RunResult.Stopped, "endpoint left");
            return;
        }
        this.startAnswered(run, answer.outcome, fence);
    }

    /** Stops a run for `reason`, as soon as its phase allows. */
    public stop(run: OrderedRun, reason: string): void {
        run.abortReason ??= reason;
        run.restart = false;
        if (run.phase === RunPhase.Waiting) {
            this.owner.finish(run, RunResult.NotStarted, reason);
        }
        else if (run.phase === RunPhase.Running) {
            run.phase = RunPhase.Stopping;
            this.sendStop(run);
        }
    }

    /** Stops a run of which nothing is certain any more; it ends once a list and a stop show that it is not there. */
    public ruleOut(run: OrderedRun, reason: string): void {
        run.abortReason ??= reason;
        run.restart = false;
        run.startedAt = undefined;
        run.leaseLimitMs = Number.POSITIVE_INFINITY;
        run.phase = RunPhase.Stopping;
        this.sendStop(run);
    }

    /**
     * Starts the task under the next run number, or gives it back when its time or its starts are used up. `evidence` says
     * why no earlier run is there.
     */
    public startAgain(run: OrderedRun, evidence: string): void {
        if (run.abortReason !== undefined || run.starts >= MAX_STARTS || !this.inWindow(run)) {
            this.owner.finish(run, RunResult.NotStarted, run.abortReason ?? "start not confirmed in time");
            return;
        }
        this.log.write(LeaseEvent.StartRepeated, { task: run.task, run: run.run, starts: run.starts, evidence });
        run.run += 1;
        run.startedAt = undefined;
        run.restart = false;
        void this.start(run);
    }

    /** Notes that the run is there. */
    public markRunning(run: OrderedRun): void {
        run.phase = RunPhase.Running;
        run.startedAt = this.clock.now();
        if (run.abortReason !== undefined) {
            this.stop(run, run.abortReason);
        }
    }

    /** A run that an earlier process of this agent has started has no entry that waits for it. */
    public stopStranger(task: string, number: number): void {
        const dueAt = this.strangers.get(task) ?? 0;
        if (this.clock.now() < dueAt) {
            return;
        }
        this.strangers.set(task, this.clock.now() + STOP_REPEAT_MS);
        this.log.write(LeaseEvent.StrangerStopped, { task, run: number });
        void this.callStopOf(task, number);
    }

    /** Sends a stop; it is due again until the end of the run is known. */
    public sendStop(run: OrderedRun): void {
        run.stopDueAt = this.clock.now() + STOP_REPEAT_MS;
        void this.callStop(run, run.run);
        this.owner.watch();
    }

    private startAnswered(run: OrderedRun, outcome: StartOutcome, fence: number): void {
        if (outcome !== StartOutcome.Started && outcome !== StartOutcome.Unanswered) {
            this.log.write(LeaseEvent.StartRejected, { task: run.task, run: run.run, outcome });
        }
        match(outcome)
            .with(StartOutcome.Started, () => {
                this.markRunning(run);
            })
            .with(StartOutcome.Unanswered, () => {
                void this.settleStart(run);
            })
            .with(StartOutcome.NoRoom, () => {
                run.phase = RunPhase.Waiting;
                this.owner.block();
            })
            .with(StartOutcome.Stale, () => {
                void this.settleRejected(run);
            })
            .with(StartOutcome.Fenced, () => {
                this.session.raiseFence(fence);
                void this.settleRejected(run);
            })
            .with(StartOutcome.Unhealthy, () => {
                this.owner.finish(run, RunResult.Refused, outcome);
            })
            .with(StartOutcome.Invalid, () => {
                this.owner.finish(run, RunResult.Failed, outcome);
            })
            .with(StartOutcome.Late, StartOutcome.OtherIncarnation, StartOutcome.Unreachable, () => {
                this.owner.finish(run, RunResult.NotStarted, outcome);
            })
            .exhaustive();
    }

    /** An unanswered start may have taken effect: the list tells, and a stop that is taken rules out a later effect. */
    private async settleStart(run: OrderedRun): Promise<void> {
        this.log.write(LeaseEvent.StartUnanswered, { task: run.task, run: run.run, starts: run.starts });
        await this.session.lookNow();
        if (!this.isStarting(run)) {
            return;
        }
        if (this.session.isGone) {
            this.owner.finish(run, RunResult.Stopped, "endpoint lost");
            return;
        }
        run.restart = run.abortReason === undefined;
        run.phase = RunPhase.Stopping;
        this.sendStop(run);
    }

    /** An earlier run, which made the number or the fence old, may still be there: a list has to show that it is over. */
    private async settleRejected(run: OrderedRun): Promise<void> {
        run.restart = run.abortReason === undefined;
        run.phase = RunPhase.Stopping;
        run.stopDueAt = this.clock.now() + STOP_REPEAT_MS;
        this.owner.watch();
        await this.settleByList(run, run.run, this.session.report);
    }

    private async callStop(run: OrderedRun, number: number): Promise<void> {
        const report = this.session.report;
        const outcome = await this.callStopOf(run.task, number);
        if (outcome === StopOutcome.Accepted && this.stopsUnconfirmed(run, number)) {
            await this.settleByList(run, number, report);
        }
    }

    /**
     * Settles a run of which the life of `before` has said that it cannot begin any more: a list of the same life that was
     * asked for after that shows whether it has begun before. Without such a list the next stop settles it.
     */
    private async settleByList(run: OrderedRun, number: number, before: EndpointReport | undefined): Promise<void> {
        const sentAt = this.clock.now();
        const list = await this.session.lookNow();
        const listed = list?.running.filter(({ task }) => task === run.task);
        this.log.write(LeaseEvent.StopSettled, {
            task: run.task,
            run: number,
            lookMs: Math.round(this.clock.now() - sentAt),
            answered: list !== undefined,
            listed: listed?.map(other => other.run),
        });
        const { report } = this.session;
        const sameLife = before !== undefined && report !== undefined && isSameIncarnation(before, report);
        if (listed?.length !== 0 || !sameLife || !this.stopsUnconfirmed(run, number)) {
            return;
        }
        if (run.restart) {
            this.startAgain(run, "no run listed");
        }
        else {
            this.owner.finish(run, RunResult.NotStarted, run.abortReason ?? "stopped before its start was confirmed");
        }
    }

    private async callStopOf(task: string, run: number): Promise<StopOutcome> {
        const fence = this.session.fence;
        const { report } = this.session;
        const endpoint = report?.life.id ?? "";
        const answer = await this.session.control.stop({ endpoint, fence, task, run, timeoutMs: STOP_TIMEOUT_MS });
        this.session.observe(answer.clockMs, report);
        if (answer.outcome === StopOutcome.Fenced) {
            this.session.raiseFence(fence);
        }
        return answer.outcome;
    }

    private isStarting(run: OrderedRun): boolean {
        return this.table.holds(run) && run.phase === RunPhase.Starting;
    }

    private stopsUnconfirmed(run: OrderedRun, number: number): boolean {
        const current = this.table.holds(run) && run.run === number;
        return current && run.phase === RunPhase.Stopping && run.startedAt === undefined;
    }

    /** Forgets the runs of an earlier life. */
    public reset(): void {
        this.strangers.clear();
    }
}
