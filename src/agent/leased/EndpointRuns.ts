import type { Clock } from "../../common/Clock.js";
import { CoalescingTimer } from "../../common/CoalescingTimer.js";
import type { Disposable } from "../../common/Disposable.js";
import { Emitter } from "../../common/Emitter.js";
import { LEASE_TIMES } from "../../common/leased/LEASE_TIMES.js";
import type { Resources } from "../../common/leased/Resources.js";
import { RunResult } from "../../common/leased/RunResult.js";
import type { Log } from "../../common/log/Log.js";
import type { MessageOf } from "../../common/wire/MessageOf.js";
import { createOrderedRun } from "./createOrderedRun.js";
import type { EndpointSession } from "./EndpointSession.js";
import { EndpointSlowdown } from "./EndpointSlowdown.js";
import { isInStartWindow } from "./isInStartWindow.js";
import { LateStarts } from "./LateStarts.js";
import { LeaseEvent } from "./LeaseEvent.js";
import type { OrderedRun } from "./OrderedRun.js";
import { OrphanedRunStops } from "./OrphanedRunStops.js";
import { RunCalls } from "./RunCalls.js";
import { RunCompletions } from "./RunCompletions.js";
import type { RunList } from "./RunList.js";
import { RunPhase } from "./RunPhase.js";
import { RunReconciler } from "./RunReconciler.js";
import { RunResolver } from "./RunResolver.js";
import { RunTable } from "./RunTable.js";
import { StopCalls } from "./StopCalls.js";
import { UnlistedEnds } from "./UnlistedEnds.js";
import { UnwantedRuns } from "./UnwantedRuns.js";
import { WaitingRuns } from "./WaitingRuns.js";

/**
 * Tasks that may wait here for free capacity. Several entries may assign the same free capacity at once; tasks beyond
 * this number are better off at their entry, which knows the free capacity of all endpoints.
 */
const MAX_WAITING = 1;

/** Interval of the checks for waiting runs and due stops while there are any. */
const CHECK_INTERVAL_MS = 20;

/** Interval of the checks for stalled runs while none waits or is being stopped. */
const STALL_CHECK_MS = 50;

/** Owns the runs at one endpoint: accepts and aborts orders, follows the run list, and stops runs that are overdue. */
export class EndpointRuns implements Disposable {
    private readonly table = new RunTable();
    private readonly usageChanges = new Emitter<undefined>();
    private readonly slowdown: EndpointSlowdown;
    private readonly lateStarts: LateStarts;
    private readonly completions: RunCompletions;
    private readonly unlistedEnds: UnlistedEnds;
    private readonly orphanedRunStops: OrphanedRunStops;
    private readonly resolver: RunResolver;
    private readonly calls: RunCalls;
    private readonly waiting: WaitingRuns;
    private readonly reconciler: RunReconciler;
    private readonly unwanted: UnwantedRuns;
    private readonly checkTimer: CoalescingTimer;

    /** Fires with each run that has ended or will never begin. */
    public readonly onCompletion: RunCompletions["onCompletion"];
    /** Fires when the used resources have changed. */
    public readonly onUsageChange = this.usageChanges.event;

    constructor(
        private readonly session: EndpointSession,
        private readonly clock: Clock,
        private readonly log: Log,
    ) {
        this.checkTimer = new CoalescingTimer(clock, () => {
            this.check();
        });
        this.slowdown = new EndpointSlowdown(clock);
        this.lateStarts = new LateStarts(clock);
        this.completions = new RunCompletions(this.table, this.slowdown, clock, log);
        this.onCompletion = this.completions.onCompletion;
        this.completions.onRemoved(() => this.usageChanges.fire(undefined));
        const stopUncertain = (run: OrderedRun, reason: string) => this.calls.stopUncertain(run, reason);
        this.unlistedEnds = new UnlistedEnds(session, this.lateStarts, this.completions, stopUncertain, clock, log);
        const owner = {
            finish: (run: OrderedRun, result: RunResult, reason: string) =>
                this.completions.finish(run, result, reason),
            finishUnlisted: (run: OrderedRun, result: RunResult, reason: string) =>
                this.unlistedEnds.finish(run, result, reason),
            startNext: (run: OrderedRun, evidence: string) => this.calls.startNext(run, evidence),
            blockStarts: () => this.waiting.block(),
            watchStops: () => this.checkTimer.fireWithin(CHECK_INTERVAL_MS),
        };
        const stopCalls = new StopCalls(session, clock);
        this.orphanedRunStops = new OrphanedRunStops(stopCalls, clock, log);
        this.resolver = new RunResolver(session, this.table, stopCalls, owner, clock, log);
        this.calls = new RunCalls(session, this.table, this.lateStarts, this.resolver, owner, clock, log);
        this.waiting = new WaitingRuns(session, this.table, this.calls, this.unlistedEnds);
        this.reconciler = new RunReconciler(session, this.table, this.calls, this.orphanedRunStops, owner, clock);
        this.unwanted = new UnwantedRuns(session, this.table);
        session.setLeaseLimit(() => Math.min(this.table.leaseLimitMs, this.unwanted.sinceMs));
        session.setHasRuns(() => this.table.size > 0 || this.lateStarts.hasAny);
        session.onDeregistered(() => this.waiting.start());
        session.onList(({ list, sentAt }) => {
            this.handleList(list, sentAt);
        });
        session.onLost(({ reason, replaced }) => {
            this.handleLoss(reason, replaced);
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
        return this.slowdown.factorOf(this.table.all);
    }

    /** Whether there are runs of `owner`. */
    public has(owner: string): boolean {
        return this.table.all.some(run => run.owner === owner);
    }

    /**
     * Whether runs of `owner` set no limit to the endpoint lease: their `leaseLimitMs` is infinite. Runs whose endpoint
     * was lost do not count; they are being stopped, and `UnwantedRuns` limits the lease when a list shows them.
     */
    public hasRunsWithoutLeaseLimit(owner: string): boolean {
        const unlimited = this.table.all.filter(run => run.leaseLimitMs === Number.POSITIVE_INFINITY);
        return unlimited.some(run => run.owner === owner && !run.endpointLost);
    }

    /** Accepts the tasks of an order of `owner`. */
    public acceptOrder(owner: string, order: MessageOf<"run">): void {
        for (const { name, run } of order.tasks) {
            this.addTask(owner, order, name, run);
        }
        this.waiting.start();
        this.waiting.returnExcess(MAX_WAITING, "no room");
        this.checkTimer.fireWithin(CHECK_INTERVAL_MS);
        this.usageChanges.fire(undefined);
    }

    /**
     * Reports the tasks of a late order that runs of other entries occupy as superseded, and returns their names. The
     * order comes from an entry that its caller has lost, because the caller has submitted the job again since.
     */
    public supersede(owner: string, order: MessageOf<"run">, reason: string): readonly string[] {
        const occupied = order.tasks.filter(({ name }) => (this.table.get(name)?.owner ?? owner) !== owner);
        occupied.forEach(({ name, run }) => this.completions.supersede(owner, name, run, reason));
        return occupied.map(({ name }) => name);
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
        this.table.add(createOrderedRun(owner, order, task, run, this.clock.now()));
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

    private handleList(list: RunList, sentAt: number): void {
        this.waiting.unblock();
        this.lateStarts.applyList(list);
        this.completions.checkReports(list, sentAt);
        this.reconciler.apply(list, sentAt);
        this.unwanted.applyList(list);
        this.waiting.start();
    }

    /**
     * Handles the end of an incarnation or of its endpoint lease. When another incarnation has replaced it, each run
     * that may have begun is stopped there, and stays until it is ruled out. Otherwise a run whose start is not
     * answered yet stays until the response arrives. All other runs are finished.
     */
    private handleLoss(reason: string, replaced: boolean): void {
        this.slowdown.reset();
        this.orphanedRunStops.reset();
        this.unwanted.reset();
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
            this.unlistedEnds.finish(run, began ? RunResult.Stopped : RunResult.NotStarted, reason);
        }
    }

    /** Returns orders whose start window has passed, stops stalled runs, and repeats stops. */
    private check(): void {
        const wanted = this.table.all.filter(run => run.phase === RunPhase.Running);
        for (const run of this.slowdown.findOverdue(wanted)) {
            this.calls.stop(run, "endpoint stalled");
        }
        for (const run of this.table.all) {
            if (run.phase === RunPhase.Waiting && !isInStartWindow(run, this.session.clockMs)) {
                this.calls.stop(run, "no room in time");
            }
            else if (run.phase === RunPhase.Stopping && this.clock.now() >= run.stopDueAt) {
                this.log.write(LeaseEvent.StopRepeated, { task: run.task, run: run.run });
                this.resolver.sendStop(run);
            }
        }
        const due = this.table.all.some(run => run.phase === RunPhase.Waiting || run.phase === RunPhase.Stopping);
        if (this.table.size > 0) {
            this.checkTimer.fireWithin(due ? CHECK_INTERVAL_MS : STALL_CHECK_MS);
        }
    }
}
