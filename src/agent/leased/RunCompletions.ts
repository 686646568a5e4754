import type { Clock } from "../../common/Clock.js";
import type { Disposable } from "../../common/Disposable.js";
import { Emitter } from "../../common/Emitter.js";
import type { RunCompletion } from "../../common/leased/RunCompletion.js";
import { RunResult } from "../../common/leased/RunResult.js";
import type { Log } from "../../common/log/Log.js";
import type { EndpointSlowdown } from "./EndpointSlowdown.js";
import { LeaseEvent } from "./LeaseEvent.js";
import type { OrderedRun } from "./OrderedRun.js";
import { ReportedEnds } from "./ReportedEnds.js";
import type { RunList } from "./RunList.js";
import type { RunTable } from "./RunTable.js";

/** Finished run and the connection on which it is reported. */
interface OwnedCompletion {
    readonly owner: string;
    readonly completion: RunCompletion;
    /** Whether other tasks of the same order have not ended yet. */
    readonly orderContinues: boolean;
}

/** Removes runs that have ended from the table and reports them. */
export class RunCompletions implements Disposable {
    private readonly completions = new Emitter<OwnedCompletion>();
    private readonly removals = new Emitter<undefined>();
    private readonly reportedEnds: ReportedEnds;

    /** Fires with each run that has ended or will never begin. */
    public readonly onCompletion = this.completions.event;
    /** Fires after a run was removed and reported. */
    public readonly onRemoved = this.removals.event;

    constructor(
        private readonly table: RunTable,
        private readonly slowdown: EndpointSlowdown,
        private readonly clock: Clock,
        private readonly log: Log,
    ) {
        this.reportedEnds = new ReportedEnds(clock);
    }

    /** Removes a run that has ended or will never begin, and reports it with the orders that it was in the way of. */
    public finish(run: OrderedRun, result: RunResult, reason: string): void {
        this.table.remove(run);
        const ranMs = Math.round(this.clock.now() - (run.startedAt ?? this.clock.now()));
        if (result === RunResult.Done) {
            this.slowdown.observeDone(run, ranMs);
        }
        const { task, run: number, refusedOwners } = run;
        const superseded = refusedOwners.size > 0 && result !== RunResult.Done;
        const reported = superseded ? RunResult.Superseded : result;
        const completion = { task, run: number, result: reported, ranMs, reason: run.stopReason ?? reason };
        const waitedMs = Math.round((run.startedAt ?? this.clock.now()) - run.orderedAt);
        this.log.write(LeaseEvent.RunEnded, { ...completion, waitedMs, owner: run.owner, starts: run.starts });
        const orderContinues = this.table.all.some(other => other.owner === run.owner && other.order === run.order);
        this.reportedEnds.add(completion);
        this.completions.fire({ owner: run.owner, completion, orderContinues });
        this.returnRefused(run);
        this.removals.fire(undefined);
    }

    /** Reports an order of a task that a run of another entry occupies as superseded. */
    public supersede(owner: string, task: string, run: number, reason: string): void {
        const completion = { task, run, result: RunResult.Superseded, ranMs: 0, reason };
        this.log.write(LeaseEvent.RunEnded, { ...completion, waitedMs: 0, owner, starts: 0 });
        this.completions.fire({ owner, completion, orderContinues: false });
    }

    /** Logs the reports of ended runs that a list requested at `sentAt` contradicts. Runs of later orders do not. */
    public checkReports(list: RunList, sentAt: number): void {
        for (const { task, run } of list.running) {
            if (this.table.get(task)?.run === run) {
                continue;
            }
            const end = this.reportedEnds.takeContradicted(task, sentAt);
            if (end !== undefined) {
                const { completion, reportedAt } = end;
                const ageMs = Math.round(this.clock.now() - reportedAt);
                this.log.write(LeaseEvent.ReportContradicted, { ...completion, ageMs, listed: run });
            }
        }
    }

    public dispose(): void {
        this.completions.dispose();
        this.removals.dispose();
    }

    /** Returns the orders that were refused because of this run. */
    private returnRefused({ task, run, refusedOwners }: OrderedRun): void {
        const reason = "a run of another entry was stopped";
        for (const owner of refusedOwners) {
            this.completions.fire({
                owner,
                completion: { task, run, result: RunResult.NotStarted, ranMs: 0, reason },
                orderContinues: false,
            });
        }
    }
}
