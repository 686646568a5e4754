import type { Clock } from "../../common/Clock.js";
import { RunResult } from "../../common/leased/RunResult.js";
import type { Log } from "../../common/log/Log.js";
import type { EndpointReport } from "./EndpointReport.js";
import type { EndpointSession } from "./EndpointSession.js";
import { isSameIncarnation } from "./isSameIncarnation.js";
import { LeaseEvent } from "./LeaseEvent.js";
import type { OrderedRun } from "./OrderedRun.js";
import type { RunFinisher } from "./RunFinisher.js";
import { RunPhase } from "./RunPhase.js";
import type { RunTable } from "./RunTable.js";
import { STOP_REPEAT_MS } from "./STOP_REPEAT_MS.js";
import type { StopCalls } from "./StopCalls.js";
import { StopOutcome } from "./StopOutcome.js";

/** Callbacks to the owner of the runs. */
interface RunOwner extends Pick<RunFinisher, "finish"> {
    /** Starts the task again under the next run number, or returns it. */
    startNext(run: OrderedRun, evidence: string): void;
    /** Checks regularly for runs whose next stop call is due, until none is left. */
    watchStops(): void;
}

/** Stops runs, and determines by run lists what became of those whose start was not confirmed. */
export class RunResolver {
    constructor(
        private readonly session: EndpointSession,
        private readonly table: RunTable,
        private readonly stopCalls: StopCalls,
        private readonly owner: RunOwner,
        private readonly clock: Clock,
        private readonly log: Log,
    ) {}

    /** Sends a stop, which is repeated until the run is known to have ended. */
    public sendStop(run: OrderedRun): void {
        run.stopDueAt = this.clock.now() + STOP_REPEAT_MS;
        void this.callStop(run, run.run);
        this.owner.watchStops();
    }

    /**
     * Determines the outcome of a run whose start was rejected. An earlier run, which made the run number or the fence
     * stale, may still be there: only a run list can show that it has ended.
     */
    public async resolveRejected(run: OrderedRun): Promise<void> {
        run.restartAfterStop = run.stopReason === undefined;
        run.phase = RunPhase.Stopping;
        run.stopDueAt = this.clock.now() + STOP_REPEAT_MS;
        this.owner.watchStops();
        await this.resolveByList(run, run.run, this.session.report);
    }

    private async callStop(run: OrderedRun, number: number): Promise<void> {
        const report = this.session.report;
        const outcome = await this.stopCalls.send(run.task, number);
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
            this.owner.startNext(run, "no run listed");
        }
        else {
            this.owner.finish(run, RunResult.NotStarted, run.stopReason ?? "stopped before its start was confirmed");
        }
    }

    private isStoppingUnconfirmed(run: OrderedRun, number: number): boolean {
        const current = this.table.isCurrent(run) && run.run === number;
        return current && run.phase === RunPhase.Stopping && run.startedAt === undefined;
    }
}
