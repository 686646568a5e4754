import type { Clock } from "../../common/Clock.js";
import { RunResult } from "../../common/leased/RunResult.js";
import type { EndpointSession } from "./EndpointSession.js";
import type { FinishedRun } from "./FinishedRun.js";
import type { OrderedRun } from "./OrderedRun.js";
import type { OrphanedRunStops } from "./OrphanedRunStops.js";
import type { RunCalls } from "./RunCalls.js";
import type { RunFinisher } from "./RunFinisher.js";
import type { RunList } from "./RunList.js";
import { RunPhase } from "./RunPhase.js";
import type { RunTable } from "./RunTable.js";

/** Reconciles the runs that an agent knows with the run list of its endpoint. */
export class RunReconciler {
    constructor(
        private readonly session: EndpointSession,
        private readonly table: RunTable,
        private readonly calls: RunCalls,
        private readonly orphanedRunStops: OrphanedRunStops,
        private readonly owner: RunFinisher,
        private readonly clock: Clock,
    ) {}

    /** Applies a run list that was requested at `sentAt`. */
    public apply(list: RunList, sentAt: number): void {
        for (const finished of list.finished) {
            const run = this.table.get(finished.task);
            if (run !== undefined && run.run === finished.run && run.phase !== RunPhase.Waiting) {
                this.applyFinished(run, finished, list);
            }
        }
        for (const { task, run } of list.running) {
            this.applyRunning(task, run);
        }
        const running = new Set(list.running.map(({ task }) => task));
        for (const run of this.table.all) {
            const confirmed = run.startedAt !== undefined && run.startedAt < sentAt;
            if (confirmed && !running.has(run.task)) {
                this.owner.finishUnlisted(run, RunResult.Stopped, "no longer listed");
            }
            else if (!running.has(run.task) && this.cannotBegin(run, sentAt)) {
                this.owner.finish(run, RunResult.NotStarted, run.stopReason ?? "start window over");
            }
        }
    }

    /**
     * Whether a run that is being stopped had not begun before a list requested at `sentAt`, and its starts had no
     * effect any more.
     */
    private cannotBegin(run: OrderedRun, sentAt: number): boolean {
        const unconfirmed = run.phase === RunPhase.Stopping && run.startedAt === undefined;
        return unconfirmed && this.isAfterStartWindow(run, sentAt);
    }

    /**
     * Whether the start window of a run was over when a call at `sentAt` was executed. No clock of an endpoint is fast,
     * so the estimate minus the time since then is not ahead of its clock at that time.
     */
    private isAfterStartWindow(run: OrderedRun, sentAt: number): boolean {
        const { clockMs } = this.session;
        return clockMs !== undefined && clockMs - (this.clock.now() - sentAt) >= run.startBeforeMs;
    }

    private applyFinished(run: OrderedRun, finished: FinishedRun, list: RunList): void {
        const restart = run.restartAfterStop && finished.result === RunResult.Stopped;
        if (restart && list.running.some(({ task }) => task === run.task)) {
            // A run with another number is still there; a later list decides about the task.
            run.startedAt = undefined;
        }
        else if (restart) {
            this.calls.startNext(run, `listed as finished: ${finished.reason}`);
        }
        else {
            this.owner.finish(run, finished.result, finished.reason);
        }
    }

    private applyRunning(task: string, number: number): void {
        const run = this.table.get(task);
        if (run?.run !== number) {
            this.orphanedRunStops.stop(task, number);
        }
        else if (run.phase === RunPhase.Starting) {
            this.calls.markRunning(run);
        }
        else if (run.phase === RunPhase.Stopping) {
            run.startedAt ??= this.clock.now();
        }
    }
}
