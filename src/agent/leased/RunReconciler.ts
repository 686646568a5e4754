import type { Clock } from "../../common/Clock.js";
import { RunResult } from "../../common/leased/RunResult.js";
import type { FinishedRun } from "./FinishedRun.js";
import type { OrderedRun } from "./OrderedRun.js";
import type { RunCalls } from "./RunCalls.js";
import type { RunList } from "./RunList.js";
import { RunPhase } from "./RunPhase.js";
import type { RunTable } from "./RunTable.js";

interface RunOwner {
    /** Takes a run that is over. */
    finish(run: OrderedRun, result: RunResult, reason: string): void;
}

/** Brings the runs that an agent knows in line with the list of its endpoint. */
export class RunReconciler {
    constructor(
        private readonly table: RunTable,
        private readonly calls: RunCalls,
        private readonly owner: RunOwner,
        private readonly clock: Clock,
    ) {}

    /** Takes a list that was asked for at `sentAt`. */
    public take(list: RunList, sentAt: number): void {
        for (const finished of list.finished) {
            const run = this.table.get(finished.task);
            if (run !== undefined && run.run === finished.run && run.phase !== RunPhase.Waiting) {
                this.takeFinished(run, finished, list);
            }
        }
        for (const { task, run } of list.running) {
            this.takeRunning(task, run);
        }
        const running = new Set(list.running.map(({ task }) => task));
        for (const run of this.table.all) {
            const confirmed = run.startedAt !== undefined && run.startedAt < sentAt;
            if (confirmed && !running.has(run.task)) {
                this.owner.finish(run, RunResult.Stopped, "no longer listed");
            }
        }
    }

    private takeFinished(run: OrderedRun, finished: FinishedRun, list: RunList): void {
        const restart = run.restart && finished.result === RunResult.Stopped;
        if (restart && list.running.some(({ task }) => task === run.task)) {
            // A run of another number is still there; a later list settles the task.
            run.startedAt = undefined;
        }
        else if (restart) {
            this.calls.startAgain(run, `end listed: ${finished.reason}`);
        }
        else {
            this.owner.finish(run, finished.result, finished.reason);
        }
    }

    private takeRunning(task: string, number: number): void {
        const run = this.table.get(task);
        if (run?.run !== number) {
            this.calls.stopStranger(task, number);
        }
        else if (run.phase === RunPhase.Starting) {
            this.calls.markRunning(run);
        }
        else if (run.phase === RunPhase.Stopping) {
            run.startedAt ??= this.clock.now();
        }
    }
}
