import { match } from "ts-pattern";
import type { Clock } from "../../common/Clock.js";
import type { Disposable } from "../../common/Disposable.js";
import { Emitter } from "../../common/Emitter.js";
import { addResources } from "../../common/leased/addResources.js";
import { fits } from "../../common/leased/fits.js";
import { LEASE_TIMES } from "../../common/leased/LEASE_TIMES.js";
import { NO_RESOURCES } from "../../common/leased/NO_RESOURCES.js";
import type { Resources } from "../../common/leased/Resources.js";
import type { RunEnd } from "../../common/leased/RunEnd.js";
import { RunResult } from "../../common/leased/RunResult.js";
import type { Log } from "../../common/log/Log.js";
import type { MessageOf } from "../../common/wire/MessageOf.js";
import type { EndpointSession } from "./EndpointSession.js";
import type { FinishedRun } from "./FinishedRun.js";
import { LeaseEvent } from "./LeaseEvent.js";
import type { OrderedRun } from "./OrderedRun.js";
import type { RunList } from "./RunList.js";
import { RunPhase } from "./RunPhase.js";
import { SlownessEstimate } from "./SlownessEstimate.js";
import { StallDetector } from "./StallDetector.js";
import { StartLatency } from "./StartLatency.js";
import { StartOutcome } from "./StartOutcome.js";
import { StopOutcome } from "./StopOutcome.js";

/**
 * Tasks that may wait here for room. Several entries give the same free room away at once; what waits behind more than
 * this is better off at its entry, which sees the room of all endpoints.
 */
const MAX_WAITING = 1;

/** How often a stop is repeated until the end of its run is known. */
const STOP_REPEAT_MS = 60;

/** Wait for the answer to a stop. */
const STOP_TIMEOUT_MS = 100;

/** Starts of one order, each with a higher run number, before the agent gives the task back. */
const MAX_STARTS = 4;

/** How often waiting orders and due stops are looked at while there are any. */
const TICK_MS = 20;

/** End of a run with the entry that is to be told. */
interface OwnedEnd {
    readonly owner: string;
    readonly end: RunEnd;
}

/** Task that owns the runs at one endpoint: its room, the order of starts, stops, and their settling when unanswered. */
export class Runs implements Disposable {
    private readonly ends = new Emitter<OwnedEnd>();
    private readonly changes = new Emitter<undefined>();
    private readonly table = new Map<string, OrderedRun>();
    private readonly strangers = new Map<string, number>();
    private readonly slowness = new SlownessEstimate();
    private readonly latency = new StartLatency();
    private readonly stalls: StallDetector;
    private occupied: Resources = NO_RESOURCES;
    /** The endpoint had less room than the agent counted; no start until the next list. */
    private blocked = false;
    private cancelTick: (() => void) | undefined;

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
        session.onList(({ list, sentAt }) => {
            this.takeList(list, sentAt);
        });
        session.onGone(reason => {
            this.endAll(reason);
        });
    }

    /** Occupied by all orders, also by those that wait. */
    public get used(): Resources {
        return this.occupied;
    }

    public get count(): number {
        return this.table.size;
    }

    public get names(): readonly string[] {
        return [...this.table.keys()];
    }

    /** Observed over declared run time at present. */
    public get slownessValue(): number {
        return Math.max(this.slowness.value, this.stalls.slownessOf([...this.table.values()]));
    }

    /** Takes the tasks of an order of `owner`. */
    public order(owner: string, order: MessageOf<"run">): void {
        for (const { name, run } of order.tasks) {
            this.orderTask(owner, order, name, run);
        }
        this.startWaiting();
        this.returnExcess();
        this.tickOn();
        this.changes.fire(undefined);
    }

    /** Stops tasks of `owner`; their ends are told like all others. */
    public abort(owner: string, tasks: readonly string[], reason: string): void {
        for (const task of tasks) {
            const run = this.table.get(task);
            if (run !== undefined && run.owner === owner) {
                this.stop(run, reason);
            }
        }
        this.tickOn();
    }

    /** Stops every run of `owner`. */
    public abortOwner(owner: string, reason: string): void {
        const tasks = [...this.table.values()].filter(run => run.owner === owner).map(run => run.task);
        this.abort(owner, tasks, reason);
    }

    public dispose(): void {
        this.cancelTick?.();
        this.ends.dispose();
        this.changes.dispose();
    }

    private orderTask(owner: string, order: MessageOf<"run">, task: string, run: number): void {
        const known = this.table.get(task);
        if (known !== undefined) {
            this.refuseSecond(known, owner, task, run);
            return;
        }
        this.table.set(task, {
            task,
            owner,
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
            stopDueAt: 0,
            restart: false,
        });
        this.occupied = addResources(this.occupied, order.need);
    }

    /** The caller lost the other entry, or it would not have submitted again: the older run is of no use to anyone. */
    private refuseSecond(known: OrderedRun, owner: string, task: string, run: number): void {
        if (known.owner === owner) {
            return;
        }
        this.stop(known, "submitted again at another entry");
        const reason = "a run of another entry is being stopped";
        this.ends.fire({ owner, end: { task, run, result: RunResult.NotStarted, ranMs: 0, reason } });
    }

    /** Starts waiting orders, first come first served, as long as they fit. */
    private startWaiting(): void {
        const report = this.session.report;
        if (report === undefined || this.blocked || this.session.clockMs === undefined) {
            return;
        }
        let free = addResources(report.capacity, this.begunResources(), -1);
        for (const run of this.table.values()) {
            if (run.phase !== RunPhase.Waiting) {
                continue;
            }
            if (!fits(run.need, free)) {
                return;
            }
            if (!this.inWindow(run)) {
                continue;
            }
            free = addResources(free, run.need, -1);
            void this.start(run);
        }
    }

    /** Gives the newest of the waiting tasks back to their entries. */
    private returnExcess(): void {
        const waiting = [...this.table.values()].filter(run => run.phase === RunPhase.Waiting);
        for (const run of waiting.slice(MAX_WAITING)) {
            this.finish(run, RunResult.NotStarted, "no room");
        }
    }

    /** Whether a start may still take effect. A time far ahead was reckoned on the clock of an earlier life. */
    private inWindow(run: OrderedRun): boolean {
        const clockMs = this.session.clockMs ?? Number.POSITIVE_INFINITY;
        return clockMs < run.startBeforeMs && run.startBeforeMs <= clockMs + 2 * LEASE_TIMES.START_WINDOW_MS;
    }

    private begunResources(): Resources {
        let sum = NO_RESOURCES;
        for (const run of this.table.values()) {
            if (run.phase !== RunPhase.Waiting) {
                sum = addResources(sum, run.need);
            }
        }
        return sum;
    }

    private async start(run: OrderedRun): Promise<void> {
        const report = this.session.report;
        if (report === undefined) {
            this.finish(run, RunResult.NotStarted, "no endpoint");
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
            untilMs: run.startBeforeMs,
            timeoutMs: this.latency.timeoutMs,
        });
        this.session.observe(answer.clockMs);
        this.latency.observe(this.clock.now() - sentAt);
        if (!this.isStarting(run) || run.run !== number) {
            return;
        }
        this.startAnswered(run, answer.outcome, fence);
    }

    private isStarting(run: OrderedRun): boolean {
        return this.table.get(run.task) === run && run.phase === RunPhase.Starting;
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
                this.blocked = true;
            })
            .with(StartOutcome.Old, () => {
                this.startAgain(run);
            })
            .with(StartOutcome.Fenced, () => {
                this.session.raiseFence(fence);
                this.startAgain(run);
            })
            .with(StartOutcome.Unhealthy, () => {
                this.finish(run, RunResult.Refused, outcome);
            })
            .with(StartOutcome.Invalid, () => {
                this.finish(run, RunResult.Failed, outcome);
            })
            .with(StartOutcome.Late, StartOutcome.OtherLife, StartOutcome.Unreachable, () => {
                this.finish(run, RunResult.NotStarted, outcome);
            })
            .exhaustive();
    }

    private markRunning(run: OrderedRun): void {
        run.phase = RunPhase.Running;
        run.startedAt = this.clock.now();
        if (run.abortReason !== undefined) {
            this.stop(run, run.abortReason);
        }
    }

    /** An unanswered start may have taken effect: the list tells, and a stop that is taken rules out a later effect. */
    private async settleStart(run: OrderedRun): Promise<void> {
        this.log.write(LeaseEvent.StartUnanswered, { task: run.task, run: run.run, starts: run.starts });
        await this.session.lookNow();
        if (!this.isStarting(run)) {
            return;
        }
        run.restart = run.abortReason === undefined;
        run.phase = RunPhase.Stopping;
        this.sendStop(run);
    }

    private startAgain(run: OrderedRun): void {
        if (run.abortReason !== undefined || run.starts >= MAX_STARTS || !this.inWindow(run)) {
            this.finish(run, RunResult.NotStarted, run.abortReason ?? "start not confirmed in time");
            return;
        }
        run.run += 1;
        run.startedAt = undefined;
        run.restart = false;
        void this.start(run);
    }

    private stop(run: OrderedRun, reason: string): void {
        run.abortReason ??= reason;
        run.restart = false;
        if (run.phase === RunPhase.Waiting) {
            this.finish(run, RunResult.NotStarted, reason);
        }
        else if (run.phase === RunPhase.Running) {
            run.phase = RunPhase.Stopping;
            this.sendStop(run);
        }
    }

    private sendStop(run: OrderedRun): void {
        run.stopDueAt = this.clock.now() + STOP_REPEAT_MS;
        void this.callStop(run, run.run);
        this.tickOn();
    }

    private async callStop(run: OrderedRun, number: number): Promise<void> {
        const outcome = await this.callStopOf(run.task, number);
        if (outcome !== StopOutcome.Taken || !this.stopsUnconfirmed(run, number)) {
            return;
        }
        // From now on the start cannot take effect; the list shows whether it did before.
        await this.session.lookNow();
        if (!this.stopsUnconfirmed(run, number)) {
            return;
        }
        if (run.restart) {
            this.startAgain(run);
        }
        else {
            this.finish(run, RunResult.NotStarted, run.abortReason ?? "stopped before its start was confirmed");
        }
    }

    private stopsUnconfirmed(run: OrderedRun, number: number): boolean {
        const current = this.table.get(run.task) === run && run.run === number;
        return current && run.phase === RunPhase.Stopping && run.startedAt === undefined;
    }

    private async callStopOf(task: string, run: number): Promise<StopOutcome> {
        const fence = this.session.fence;
        const endpoint = this.session.report?.life.id ?? "";
        const answer = await this.session.control.stop({ endpoint, fence, task, run, timeoutMs: STOP_TIMEOUT_MS });
        this.session.observe(answer.clockMs);
        if (answer.outcome === StopOutcome.Fenced) {
            this.session.raiseFence(fence);
        }
        return answer.outcome;
    }

    private takeList(list: RunList, sentAt: number): void {
        this.blocked = false;
        for (const finished of list.finished) {
            const run = this.table.get(finished.task);
            if (run !== undefined && run.run === finished.run && run.phase !== RunPhase.Waiting) {
                this.takeFinished(run, finished);
            }
        }
        const running = new Map(list.running.map(({ task, run }) => [task, run]));
        for (const [task, number] of running) {
            this.takeRunning(task, number);
        }
        for (const run of [...this.table.values()]) {
            const confirmed = run.startedAt !== undefined && run.startedAt < sentAt;
            if (confirmed && !running.has(run.task)) {
                this.finish(run, RunResult.Stopped, "no longer listed");
            }
        }
        this.startWaiting();
    }

    private takeFinished(run: OrderedRun, finished: FinishedRun): void {
        if (run.restart && finished.result === RunResult.Stopped) {
            this.startAgain(run);
        }
        else {
            this.finish(run, finished.result, finished.reason);
        }
    }

    private takeRunning(task: string, number: number): void {
        const run = this.table.get(task);
        if (run === undefined) {
            this.stopStranger(task, number);
        }
        else if (run.phase === RunPhase.Starting && run.run === number) {
            this.markRunning(run);
        }
        else if (run.phase === RunPhase.Stopping && run.run === number) {
            run.startedAt ??= this.clock.now();
        }
    }

    /** A run that an earlier process of this agent has started has no entry that waits for it. */
    private stopStranger(task: string, number: number): void {
        const dueAt = this.strangers.get(task) ?? 0;
        if (this.clock.now() < dueAt) {
            return;
        }
        this.strangers.set(task, this.clock.now() + STOP_REPEAT_MS);
        this.log.write(LeaseEvent.StrangerStopped, { task, run: number });
        void this.callStopOf(task, number);
    }

    private endAll(reason: string): void {
        this.slowness.reset();
        this.stalls.reset();
        this.strangers.clear();
        for (const run of [...this.table.values()]) {
            const began = run.phase !== RunPhase.Waiting;
            this.finish(run, began ? RunResult.Stopped : RunResult.NotStarted, reason);
        }
    }

    private finish(run: OrderedRun, result: RunResult, reason: string): void {
        this.table.delete(run.task);
        this.occupied = addResources(this.occupied, run.need, -1);
        const ranMs = Math.round(this.clock.now() - (run.startedAt ?? this.clock.now()));
        if (result === RunResult.Done) {
            this.stalls.ended(run, this.slowness.value);
            this.slowness.observe(ranMs, run.estimateMs);
        }
        const end = { task: run.task, run: run.run, result, ranMs, reason: run.abortReason ?? reason };
        const waitedMs = Math.round((run.startedAt ?? this.clock.now()) - run.orderedAt);
        this.log.write(LeaseEvent.RunEnded, { ...end, waitedMs, owner: run.owner, starts: run.starts });
        this.ends.fire({ owner: run.owner, end });
        this.changes.fire(undefined);
    }

    private tickOn(): void {
        this.cancelTick ??= this.clock.schedule(TICK_MS, () => {
            this.cancelTick = undefined;
            this.tick();
        });
    }

    /** Gives back orders whose time has passed, stops stalled runs, and repeats stops. */
    private tick(): void {
        const wanted = [...this.table.values()].filter(run => run.phase === RunPhase.Running);
        for (const run of this.stalls.stalled(wanted, this.slowness.value)) {
            this.stop(run, "endpoint stalled");
        }
        for (const run of [...this.table.values()]) {
            if (run.phase === RunPhase.Waiting && !this.inWindow(run)) {
                this.finish(run, RunResult.NotStarted, "no room in time");
            }
            else if (run.phase === RunPhase.Stopping && this.clock.now() >= run.stopDueAt) {
                this.log.write(LeaseEvent.StopRepeated, { task: run.task, run: run.run });
                this.sendStop(run);
            }
        }
        if (this.table.size > 0) {
            this.tickOn();
        }
    }
}
