import { match } from "ts-pattern";
import type { Clock } from "../../common/Clock.js";
import { RunResult } from "../../common/leased/RunResult.js";
import type { Log } from "../../common/log/Log.js";
import type { EndpointSession } from "./EndpointSession.js";
import { isInStartWindow } from "./isInStartWindow.js";
import type { LateStarts } from "./LateStarts.js";
import { LeaseEvent } from "./LeaseEvent.js";
import type { OrderedRun } from "./OrderedRun.js";
import type { RunFinisher } from "./RunFinisher.js";
import { RunPhase } from "./RunPhase.js";
import type { RunResolver } from "./RunResolver.js";
import type { RunTable } from "./RunTable.js";
import { StartOutcome } from "./StartOutcome.js";
import { StartTimeout } from "./StartTimeout.js";

/**
 * Maximum number of starts for one order, each with a higher run number, before the agent returns the task to its
 * entry.
 */
const MAX_STARTS = 4;

/** Callbacks to the owner of the runs. */
interface RunOwner extends RunFinisher {
    /** Blocks starts until the next run list, because the endpoint has less free capacity than the agent calculated. */
    blockStarts(): void;
}

/** Starts and stops single runs at the endpoint, and starts a task again whose earlier run is ruled out. */
export class RunCalls {
    private readonly startTimeout = new StartTimeout();

    constructor(
        private readonly session: EndpointSession,
        private readonly table: RunTable,
        private readonly lateStarts: LateStarts,
        private readonly resolver: RunResolver,
        private readonly owner: RunOwner,
        private readonly clock: Clock,
        private readonly log: Log,
    ) {}

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
        const { untilMs, renewal } = this.session.beginStart(run.startBeforeMs);
        const response = await this.session.control.start({
            endpoint: report.life.id,
            fence,
            task: run.task,
            run: number,
            spec: run.spec,
            untilMs,
            timeoutMs: this.startTimeout.timeoutMs,
        });
        this.session.settleRenewal(renewal, response.outcome === StartOutcome.Unreachable);
        if (response.outcome !== StartOutcome.OtherIncarnation) {
            this.session.observeClock(response.clockMs, sentAt, report);
        }
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
            this.resolver.sendStop(run);
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
        this.resolver.sendStop(run);
    }

    /**
     * Starts the task again under the next run number, or returns it when its start window has passed or its starts are
     * used up. `evidence` says for the log why no earlier run is there.
     */
    public startNext(run: OrderedRun, evidence: string): void {
        const wanted = run.stopReason === undefined && this.session.isRegistered;
        if (!wanted || run.starts >= MAX_STARTS || !isInStartWindow(run, this.session.clockMs)) {
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
                void this.resolver.resolveRejected(run);
            })
            .with(StartOutcome.Fenced, () => {
                this.session.raiseFence(fence);
                void this.resolver.resolveRejected(run);
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
        this.resolver.sendStop(run);
    }

    private isStarting(run: OrderedRun): boolean {
        return this.table.isCurrent(run) && run.phase === RunPhase.Starting;
    }
}
