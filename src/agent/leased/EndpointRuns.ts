import type { Clock } from "../../common/Clock.js";
import { CoalescingTimer } from "../../common/CoalescingTimer.js";
import type { Disposable } from "../../common/Disposable.js";
import { Emitter } from "../../common/Emitter.js";
import { addResources } from "../../common/leased/addResources.js";
import { fits } from "../../common/leased/fits.js";
import { LEASE_TIMES } from "../../common/leased/LEASE_TIMES.js";
import type { Resources } from "../../common/leased/Resources.js";
import type { RunCompletion } from "../../common/leased/RunCompletion.js";
import { RunResult } from "../../common/leased/RunResult.js";
import type { Log } from "../../common/log/Log.js";
import type { MessageOf } from "../../common/wire/MessageOf.js";
import type { EndpointSession } from "./EndpointSession.js";
import { EndpointStallDetector } from "./EndpointStallDetector.js";
import { LateStarts } from "./LateStarts.js";
import { LeaseEvent } from "./LeaseEvent.js";
import type { OrderedRun } from "./OrderedRun.js";
import { ReportedEnds } from "./ReportedEnds.js";
import { RunCalls } from "./RunCalls.js";
import type { RunList } from "./RunList.js";
import { RunPhase } from "./RunPhase.js";
import { RunReconciler } from "./RunReconciler.js";
import { RunTable } from "./RunTable.js";
import { SlowdownEstimate } from "./SlowdownEstimate.js";

/**
 * Tasks that may wait here for free capacity. Several entries may assign the same free capacity at once; tasks beyond
 * this number are better off at their entry, which knows the free capacity of all endpoints.
 */
const MAX_WAITING = 1;

/** Interval of the checks for waiting runs and due stops while there are any. */
const CHECK_INTERVAL_MS = 20;

/** Interval of the checks for stalled runs while none waits or is being stopped. */
const STALL_CHECK_MS = 50;

/**
 * Longest time that a task stays at the agent of a lost endpoint because a start of it may still be executed: an entry
 * that loses the agent itself places the task again after the same time.
 */
const MAX_LOST_MS = LEASE_TIMES.LOST_RUN_EXPIRY_MS;

/** Finished run and the connection on which it is reported. */
interface OwnedCompletion {
    readonly owner: string;
    readonly completion: RunCompletion;
    /** Whether other tasks of the same order have not ended yet. */
    readonly orderContinues: boolean;
}

/** Owns the runs at one endpoint: accepts orders, starts what fits, follows the run list and reports finished runs. */
export class EndpointRuns implements Disposable {
    private readonly completions = new Emitter<OwnedCompletion>();
    private readonly usageChanges = new Emitter<undefined>();
    private readonly table = new RunTable();
    private readonly slowdown = new SlowdownEstimate();
    private readonly lateStarts: LateStarts;
    private readonly calls: RunCalls;
    private readonly reconciler: RunReconciler;
    private readonly stalls: EndpointStallDetector;
    private readonly reportedEnds: ReportedEnds;
    /**
     * Whether starts wait for the next run list, because the endpoint had less free capacity than the agent calculated.
     */
    private startsBlocked = false;
    /**
     * Time on the endpoint's clock since when run lists show orphaned runs, which no attached entry has ordered, or runs
     * whose endpoint was lost; infinite while they show none.
     */
    private unwantedSinceMs = Number.POSITIVE_INFINITY;
    private readonly checkTimer: CoalescingTimer;

    /** Fires with each run that has ended or will never begin. */
    public readonly onCompletion = this.completions.event;
    /** Fires when the used resources have changed. */
    public readonly onUsageChange = this.usageChanges.event;

    constructor(
        private readonly session: EndpointSession,
        private readonly clock: Clock,
        private readonly log: Log,
    ) {
        this.stalls = new EndpointStallDetector(clock);
        this.reportedEnds = new ReportedEnds(clock);
        this.checkTimer = new CoalescingTimer(clock, () => {
            this.check();
        });
        this.lateStarts = new LateStarts(clock);
        const owner = {
            finish: (run: OrderedRun, result: RunResult, reason: string) => this.finish(run, result, reason),
            finishUnlisted: (run: OrderedRun, result: RunResult, reason: string) =>
                this.finishUnlisted(run, result, reason),
            blockStarts: () => this.startsBlocked = true,
            watchStops: () => this.checkTimer.fireWithin(CHECK_INTERVAL_MS),
        };
        this.calls = new RunCalls(session, this.table, this.lateStarts, owner, clock, log);
        this.reconciler = new RunReconciler(this.table, this.calls, owner, clock);
        session.setLeaseLimit(() => Math.min(this.table.leaseLimitMs, this.unwantedSinceMs));
        session.setHasRuns(() => this.table.size > 0 || this.lateStarts.hasAny);
        session.onDeregistered(() => this.startWaiting());
        session.onList(({ list, sentAt }) => {
            this.handleList(list, sentAt);
        });
        session.onLost(({ reason, replaced }) => {
            this.endAllRuns(reason, replaced);
        });
    }

    /** Resources of all runs, including those that wait. */
    public get used(): Resources {
        return this.table.used;
    }

    public get count(): number {
        return this.table.size;
    }

    public get tasks(): readonly string[] {
        return this.table.all.map(run => run.task);
    }

    /** Current ratio of observed to declared run time. */
    public get slowdownFactor(): number {
        return Math.max(this.slowdown.value, this.stalls.slowdownOf(this.table.all));
    }

    /** Whether there are runs of `owner`. */
    public has(owner: string): boolean {
        return this.table.all.some(run => run.owner === owner);
    }

    /**
     * Whether there are runs of `owner` that do not limit the endpoint lease yet. Those of an incarnation that has ended
     * limit that of the next one only if a list shows them there.
     */
    public hasUnlimited(owner: string): boolean {
        const unlimited = this.table.all.filter(run => run.leaseLimitMs === Number.POSITIVE_INFINITY);
        return unlimited.some(run => run.owner === owner && !run.endpointLost);
    }

    /** Accepts the tasks of an order of `owner`. */
    public acceptOrder(owner: string, order: MessageOf<"run">): void {
        for (const { name, run } of order.tasks) {
            this.addTask(owner, order, name, run);
        }
        this.startWaiting();
        this.returnWaiting(MAX_WAITING, "no room");
        this.checkTimer.fireWithin(CHECK_INTERVAL_MS);
        this.usageChanges.fire(undefined);
    }

    /**
     * Stops tasks of `owner`; their results are reported like all others. `wantedUntilMs` is the time on the endpoint's
     * clock until which they were wanted: if the stops have no effect, the endpoint lease ends them.
     */
    public abort(owner: string, tasks: readonly string[], reason: string, wantedUntilMs = this.session.clockMs): void {
        for (const task of tasks) {
            const run = this.table.get(task);
            if (run !== undefined && run.owner === owner) {
                const limitMs = (wantedUntilMs ?? Number.POSITIVE_INFINITY) + LEASE_TIMES.ENDPOINT_LEASE_MS;
                run.leaseLimitMs = Math.min(run.leaseLimitMs, limitMs);
                this.calls.stop(run, reason);
            }
        }
        this.checkTimer.fireWithin(CHECK_INTERVAL_MS);
    }

    /** Stops every run of `owner`. */
    public abortOwner(owner: string, reason: string, wantedUntilMs?: number): void {
        const tasks = this.table.all.filter(run => run.owner === owner).map(run => run.task);
        this.abort(owner, tasks, reason, wantedUntilMs);
    }

    public dispose(): void {
        this.checkTimer.dispose();
        this.completions.dispose();
        this.usageChanges.dispose();
    }

    private addTask(owner: string, order: MessageOf<"run">, task: string, run: number): void {
        const known = this.table.get(task);
        if (known !== undefined) {
            this.refuseDuplicate(known, owner);
            return;
        }
        this.table.add({
            task,
            owner,
            order: order.order,
            spec: order.spec,
            need: order.need,
            estimateMs: order.estimateMs,
            startBeforeMs: order.startBeforeMs,
            orderedAt: this.clock.now(),
            run,
            phase: RunPhase.Waiting,
            starts: 0,
            startedAt: undefined,
            stopReason: undefined,
            leaseLimitMs: Number.POSITIVE_INFINITY,
            stopDueAt: 0,
            restartAfterStop: false,
            endpointLost: false,
            returnLostAt: Number.POSITIVE_INFINITY,
            refusedOwners: new Set(),
        });
    }

    /**
     * Refuses an order of a task that is already here, and stops the run of the other entry. The caller has lost that
     * entry, or it would not have submitted the job again, so nobody uses the older run. The new order is returned only
     * when that run has ended, because its entry may place the task elsewhere at once.
     */
    private refuseDuplicate(known: OrderedRun, owner: string): void {
        if (known.owner !== owner) {
            known.refusedOwners.add(owner);
            this.abort(known.owner, [known.task], "submitted again at another entry");
        }
    }

    /**
     * Starts waiting orders, first come first served, as long as they fit. They are returned while there is no endpoint
     * that takes runs.
     */
    private startWaiting(): void {
        const report = this.session.report;
        if (!this.session.isRegistered) {
            this.returnWaiting(0, "no endpoint registered");
            return;
        }
        if (report === undefined || this.startsBlocked || this.session.isLost || this.session.clockMs === undefined) {
            return;
        }
        let free = addResources(report.capacity, this.table.usedByStarted, -1);
        for (const run of this.table.all) {
            if (run.phase !== RunPhase.Waiting) {
                continue;
            }
            if (!fits(run.need, free)) {
                return;
            }
            if (!this.calls.isInStartWindow(run)) {
                continue;
            }
            free = addResources(free, run.need, -1);
            void this.calls.start(run);
        }
    }

    /** Returns all but the first `kept` of the waiting tasks to their entries. */
    private returnWaiting(kept: number, reason: string): void {
        const waiting = this.table.all.filter(run => run.phase === RunPhase.Waiting);
        for (const run of waiting.slice(kept)) {
            this.finishUnlisted(run, RunResult.NotStarted, reason);
        }
    }

    private handleList(list: RunList, sentAt: number): void {
        this.startsBlocked = false;
        this.lateStarts.applyList(list);
        this.checkReportedEnds(list, sentAt);
        this.reconciler.apply(list, sentAt);
        const hasUnwanted = list.running.some(({ task }) => this.table.get(task)?.endpointLost ?? true);
        this.unwantedSinceMs = hasUnwanted
            ? Math.min(this.unwantedSinceMs, this.session.clockMs ?? 0)
            : Number.POSITIVE_INFINITY;
        this.startWaiting();
    }

    /** Logs the reports of ended runs that a list requested at `sentAt` contradicts. Runs of later orders do not. */
    private checkReportedEnds(list: RunList, sentAt: number): void {
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

    /**
     * Ends all runs. Those that may have been started in the incarnation that has replaced theirs are first stopped
     * there. Starts that are not answered yet may reach the next incarnation, so their responses decide.
     */
    private endAllRuns(reason: string, replaced: boolean): void {
        this.slowdown.reset();
        this.stalls.reset();
        this.calls.reset();
        this.unwantedSinceMs = Number.POSITIVE_INFINITY;
        if (replaced) {
            this.lateStarts.handleReplacement();
        }
        for (const run of this.table.all) {
            const began = run.phase !== RunPhase.Waiting;
            if (replaced && began) {
                // A limit on the clock of the incarnation that has ended says nothing on that of the next one.
                run.leaseLimitMs = Number.POSITIVE_INFINITY;
                this.calls.stopUncertain(run, reason);
                continue;
            }
            if (run.phase === RunPhase.Starting) {
                continue;
            }
            this.finishUnlisted(run, began ? RunResult.Stopped : RunResult.NotStarted, reason);
        }
    }

    /**
     * Finishes a run that no list of the current incarnation shows to be over. A task that has an unanswered start stays
     * here until a stop and a list rule the start out in the incarnation that answers them: an answer may be of the
     * next one, which executes the start as well. Where the endpoint is lost it stays for `MAX_LOST_MS` at most.
     */
    private finishUnlisted(run: OrderedRun, result: RunResult, reason: string): void {
        if (!this.lateStarts.has(run.task) || this.session.report === undefined) {
            this.finish(run, result, reason);
            return;
        }
        const now = this.clock.now();
        run.returnLostAt = Math.min(run.returnLostAt, now + MAX_LOST_MS);
        const waitsMs = Math.round(run.returnLostAt - now);
        if (waitsMs <= 0) {
            this.log.write(LeaseEvent.ReturnedUnresolved, { task: run.task, run: run.run, reason });
            this.finish(run, result, reason);
            return;
        }
        this.log.write(LeaseEvent.ReturnDelayed, { task: run.task, run: run.run, reason, waitsMs });
        this.calls.stopUncertain(run, reason);
    }

    private finish(run: OrderedRun, result: RunResult, reason: string): void {
        this.table.remove(run);
        const ranMs = Math.round(this.clock.now() - (run.startedAt ?? this.clock.now()));
        if (result === RunResult.Done) {
            this.stalls.observeDone(run, this.slowdown.value);
            this.slowdown.observe(ranMs, run.estimateMs);
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
        this.usageChanges.fire(undefined);
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

    /** Returns orders whose start window has passed, stops stalled runs, and repeats stops. */
    private check(): void {
        const wanted = this.table.all.filter(run => run.phase === RunPhase.Running);
        for (const run of this.stalls.findOverdue(wanted, this.slowdown.value)) {
            this.calls.stop(run, "endpoint stalled");
        }
        for (const run of this.table.all) {
            if (run.phase === RunPhase.Waiting && !this.calls.isInStartWindow(run)) {
                this.calls.stop(run, "no room in time");
            }
            else if (run.phase === RunPhase.Stopping && this.clock.now() >= run.stopDueAt) {
                this.log.write(LeaseEvent.StopRepeated, { task: run.task, run: run.run });
                this.calls.sendStop(run);
            }
        }
        const due = this.table.all.some(run => run.phase === RunPhase.Waiting || run.phase === RunPhase.Stopping);
        if (this.table.size > 0) {
            this.checkTimer.fireWithin(due ? CHECK_INTERVAL_MS : STALL_CHECK_MS);
        }
    }
}
