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
import { LeaseEvent } from "./LeaseEvent.js";
import type { OrderedRun } from "./OrderedRun.js";
import { RunCalls } from "./RunCalls.js";
import type { RunList } from "./RunList.js";
import { RunPhase } from "./RunPhase.js";
import { RunReconciler } from "./RunReconciler.js";
import { RunTable } from "./RunTable.js";
import { SlownessEstimate } from "./SlownessEstimate.js";
import { StallDetector } from "./StallDetector.js";

/**
 * Tasks that may wait here for room. Several entries give the same free room away at once; what waits behind more than
 * this is better off at its entry, which sees the room of all endpoints.
 */
const MAX_WAITING = 1;

/** How often waiting orders and due stops are looked at while there are any. */
const TICK_MS = 20;

/** How often runs are looked at for a stall while nothing waits or is being stopped. */
const STALL_CHECK_MS = 50;

/** End of a run with the entry that is to be told. */
interface OwnedEnd {
    readonly owner: string;
    readonly end: RunCompletion;
    /** Whether other tasks of the same order go on. */
    readonly more: boolean;
}

/** Task that owns the runs at one endpoint: takes orders, starts what fits, follows the run list, and tells the ends. */
export class Runs implements Disposable {
    private readonly ends = new Emitter<OwnedEnd>();
    private readonly changes = new Emitter<undefined>();
    private readonly table = new RunTable();
    private readonly slowness = new SlownessEstimate();
    private readonly calls: RunCalls;
    private readonly reconciler: RunReconciler;
    private readonly stalls: StallDetector;
    /** The endpoint had less room than the agent counted; no start until the next list. */
    private blocked = false;
    /** Time on the endpoint's clock since when lists show runs that no entry waits for; infinite while they show none. */
    private strangersMs = Number.POSITIVE_INFINITY;
    private readonly ticks: CoalescingTimer;

    /** Fires with each run that is over. */
    public readonly onEnd = this.ends.event;
    /** Fires when the occupied room changed. */
    public readonly onChange = this.changes.event;

    constructor(
        private readonly session: EndpointSession,
        private readonly clock: Clock,
        private readonly log: Log,
    ) {
        this.stalls = new StallDetector(clock);
        this.ticks = new CoalescingTimer(clock, () => {
            this.tick();
        });
        const owner = {
            finish: (run: OrderedRun, result: RunResult, reason: string) => this.finish(run, result, reason),
            block: () => this.blocked = true,
            watch: () => this.ticks.fireWithin(TICK_MS),
        };
        this.calls = new RunCalls(session, this.table, owner, clock, log);
        this.reconciler = new RunReconciler(this.table, this.calls, owner, clock);
        session.limitLease(() => Math.min(this.table.leaseLimitMs, this.strangersMs));
        session.onList(({ list, sentAt }) => {
            this.takeList(list, sentAt);
        });
        session.onGone(({ reason, replaced }) => {
            this.endAll(reason, replaced);
        });
    }

    /** Occupied by all orders, also by those that wait. */
    public get used(): Resources {
        return this.table.used;
    }

    public get count(): number {
        return this.table.size;
    }

    public get names(): readonly string[] {
        return this.table.all.map(run => run.task);
    }

    /** Observed over declared run time at present. */
    public get slownessValue(): number {
        return Math.max(this.slowness.value, this.stalls.slownessOf(this.table.all));
    }

    /** Whether there are runs of `owner`. */
    public has(owner: string): boolean {
        return this.table.all.some(run => run.owner === owner);
    }

    /** Takes the tasks of an order of `owner`. */
    public order(owner: string, order: MessageOf<"run">): void {
        for (const { name, run } of order.tasks) {
            this.orderTask(owner, order, name, run);
        }
        this.startWaiting();
        this.returnExcess();
        this.ticks.fireWithin(TICK_MS);
        this.changes.fire(undefined);
    }

    /**
     * Stops tasks of `owner`; their ends are told like all others. `lostMs` is the time on the endpoint's clock since when
     * nobody wants them: where the stop has no effect, the lease ends them.
     */
    public abort(owner: string, tasks: readonly string[], reason: string, lostMs = this.session.clockMs): void {
        for (const task of tasks) {
            const run = this.table.get(task);
            if (run !== undefined && run.owner === owner) {
                const limitMs = (lostMs ?? Number.POSITIVE_INFINITY) + LEASE_TIMES.ENDPOINT_LEASE_MS;
                run.leaseLimitMs = Math.min(run.leaseLimitMs, limitMs);
                this.calls.stop(run, reason);
            }
        }
        this.ticks.fireWithin(TICK_MS);
    }

    /** Stops every run of `owner`. */
    public abortOwner(owner: string, reason: string, lostMs?: number): void {
        const tasks = this.table.all.filter(run => run.owner === owner).map(run => run.task);
        this.abort(owner, tasks, reason, lostMs);
    }

    public dispose(): void {
        this.ticks.dispose();
        this.ends.dispose();
        this.changes.dispose();
    }

    private orderTask(owner: string, order: MessageOf<"run">, task: string, run: number): void {
        const known = this.table.get(task);
        if (known !== undefined) {
            this.refuseSecond(known, owner);
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
            abortReason: undefined,
            leaseLimitMs: Number.POSITIVE_INFINITY,
            stopDueAt: 0,
            restart: false,
            refusedOwners: new Set(),
        });
    }

    /**
     * The caller lost the other entry, or it would not have submitted again: the older run is of no use to anyone. The new order
     * is given back once that run is over, because its entry may place the task elsewhere at once.
     */
    private refuseSecond(known: OrderedRun, owner: string): void {
        if (known.owner !== owner) {
            known.refusedOwners.add(owner);
            this.abort(known.owner, [known.task], "submitted again at another entry");
        }
    }

    /** Starts waiting orders, first come first served, as long as they fit. */
    private startWaiting(): void {
        const report = this.session.report;
        if (report === undefined || this.blocked || this.session.isGone || this.session.clockMs === undefined) {
            return;
        }
        let free = addResources(report.capacity, this.table.begun, -1);
        for (const run of this.table.all) {
            if (run.phase !== RunPhase.Waiting) {
                continue;
            }
            if (!fits(run.need, free)) {
                return;
            }
            if (!this.calls.inWindow(run)) {
                continue;
            }
            free = addResources(free, run.need, -1);
            void this.calls.start(run);
        }
    }

    /** Gives the newest of the waiting tasks back to their entries. */
    private returnExcess(): void {
        const waiting = this.table.all.filter(run => run.phase === RunPhase.Waiting);
        for (const run of waiting.slice(MAX_WAITING)) {
            this.finish(run, RunResult.NotStarted, "no room");
        }
    }

    private takeList(list: RunList, sentAt: number): void {
        this.blocked = false;
        this.reconciler.take(list, sentAt);
        const strange = list.running.some(({ task }) => this.table.get(task) === undefined);
        this.strangersMs = strange ? Math.min(this.strangersMs, this.session.clockMs ?? 0) : Number.POSITIVE_INFINITY;
        this.startWaiting();
    }

    /**
     * Ends all runs. Those that may have been started in the life that has replaced theirs are ruled out there first; starts that
     * are not answered yet may reach the next life, so their answers settle them.
     */
    private endAll(reason: string, replaced: boolean): void {
        this.slowness.reset();
        this.stalls.reset();
        this.calls.reset();
        this.strangersMs = Number.POSITIVE_INFINITY;
        for (const run of this.table.all) {
            const began = run.phase !== RunPhase.Waiting;
            if (replaced && began) {
                this.calls.ruleOut(run, reason);
                continue;
            }
            if (run.phase === RunPhase.Starting) {
                continue;
            }
            this.finish(run, began ? RunResult.Stopped : RunResult.NotStarted, reason);
        }
    }

    private finish(run: OrderedRun, result: RunResult, reason: string): void {
        this.table.remove(run);
        const ranMs = Math.round(this.clock.now() - (run.startedAt ?? this.clock.now()));
        if (result === RunResult.Done) {
            this.stalls.ended(run, this.slowness.value);
            this.slowness.observe(ranMs, run.estimateMs);
        }
        const { task, run: number, refusedOwners } = run;
        const superseded = refusedOwners.size > 0 && result !== RunResult.Done;
        const told = superseded ? RunResult.Superseded : result;
        const end = { task, run: number, result: told, ranMs, reason: run.abortReason ?? reason };
        const waitedMs = Math.round((run.startedAt ?? this.clock.now()) - run.orderedAt);
        this.log.write(LeaseEvent.RunEnded, { ...end, waitedMs, owner: run.owner, starts: run.starts });
        const more = this.table.all.some(other => other.owner === run.owner && other.order === run.order);
        this.ends.fire({ owner: run.owner, end, more });
        this.tellRefused(run);
        this.changes.fire(undefined);
    }

    /** Gives the orders back that were refused because of this run. */
    private tellRefused({ task, run, refusedOwners }: OrderedRun): void {
        const reason = "a run of another entry was stopped";
        for (const owner of refusedOwners) {
            this.ends.fire({ owner, end: { task, run, result: RunResult.NotStarted, ranMs: 0, reason }, more: false });
        }
    }

    /** Gives back orders whose time has passed, stops stalled runs, and repeats stops. */
    private tick(): void {
        const wanted = this.table.all.filter(run => run.phase === RunPhase.Running);
        for (const run of this.stalls.stalled(wanted, this.slowness.value)) {
            this.calls.stop(run, "endpoint stalled");
        }
        for (const run of this.table.all) {
            if (run.phase === RunPhase.Waiting && !this.calls.inWindow(run)) {
                this.finish(run, RunResult.NotStarted, "no room in time");
            }
            else if (run.phase === RunPhase.Stopping && this.clock.now() >= run.stopDueAt) {
                this.log.write(LeaseEvent.StopRepeated, { task: run.task, run: run.run });
                this.calls.sendStop(run);
            }
        }
        const due = this.table.all.some(run => run.phase === RunPhase.Waiting || run.phase === RunPhase.Stopping);
        if (this.table.size > 0) {
            this.ticks.fireWithin(due ? TICK_MS : STALL_CHECK_MS);
        }
    }
}
