import type { EndpointControl } from "../agent/leased/EndpointControl.js";
import type { EndpointIncarnation } from "../agent/leased/EndpointIncarnation.js";
import { PollOutcome } from "../agent/leased/PollOutcome.js";
import type { RunList } from "../agent/leased/RunList.js";
import { StartOutcome } from "../agent/leased/StartOutcome.js";
import { StopOutcome } from "../agent/leased/StopOutcome.js";
import type { Clock } from "../common/Clock.js";
import type { Resources } from "../common/leased/Resources.js";
import { RunResult } from "../common/leased/RunResult.js";
import { CallDelivery } from "./CallDelivery.js";
import type { EndpointCallKind } from "./EndpointCallKind.js";
import type { RunRecord } from "./RunRecord.js";

/** Clock reading at the start of each incarnation. */
const FIRST_CLOCK_MS = 1;

/** Time from a stop to the end of the run. */
const STOP_MS = 50;

const MAX_LEASE_MS = 1000;

/** One-way network delays; a poll sent right after a start overtakes it. */
const ONE_WAY_DELAY_MS = { start: 2, stop: 1, look: 1 } as const;

/** Default delay of a delayed call. */
const DEFAULT_DELIVERY_DELAY_MS = 2500;

type StartCall = Parameters<EndpointControl["start"]>[0];
type StopCall = Parameters<EndpointControl["stop"]>[0];
type PollCall = Parameters<EndpointControl["poll"]>[0];
type StartAnswer = Awaited<ReturnType<EndpointControl["start"]>>;
type StopAnswer = Awaited<ReturnType<EndpointControl["stop"]>>;
type PollAnswer = Awaited<ReturnType<EndpointControl["poll"]>>;

type CallFailure = typeof PollOutcome.Unanswered | typeof PollOutcome.Unreachable;

interface LiveRun {
    readonly record: RunRecord;
    readonly cpu: number;
    cancelEnd: () => void;
    stopping: boolean;
}

interface EndpointOptions {
    /** Id of its first incarnation. */
    readonly id: string;
    /** Start time of its first incarnation. */
    readonly bornMs: number;
    readonly capacity: Resources;
    /** Run time of a task in milliseconds, and how it ends ("done" or "failed"). */
    readonly work: (task: string) => { readonly ms: number; readonly how: string; };
    /** CPU that a task occupies, in thousandths of a core. */
    readonly cpuOf: (task: string) => number;
    /** Decides how the next call is delivered. */
    readonly deliveryOf: (call: EndpointCallKind, task: string) => CallDelivery;
    /** Time until a delayed call is executed, in milliseconds. */
    readonly deliveryDelayMs?: (call: EndpointCallKind) => number;
    /**
     * Whether delayed calls are executed by an incarnation that started after they were sent. An endpoint that restarts
     * under the same id accepts such calls: the instance header names only the id, the new incarnation has not yet seen
     * a fence, and its clock starts again.
     */
    readonly acceptsCallsToEarlierIncarnations?: boolean;
    /** Rate of its clock, 1 by default; the platform allows clocks that are 2% slow. */
    readonly clockRate?: number;
    /** Whether connections are refused while it is down; otherwise calls time out. */
    readonly refusesWhileDown?: boolean;
    /** Whether a crash resets the connections of polls that wait for a run to end; otherwise they get a last list. */
    readonly resetsConnectionsAtCrash?: boolean;
}

/** In-memory endpoint with the lease, fencing, capacity and run list semantics of the platform's workers. */
export class EmulatedEndpoint implements EndpointControl {
    /** All runs so far, in order of their starts. */
    public readonly records: RunRecord[] = [];
    /** False after a crash until the restart. */
    public up = true;
    private readonly running = new Set<LiveRun>();
    private readonly highestRuns = new Map<string, number>();
    private finished: { number: number; task: string; run: number; how: string; }[] = [];
    private finishedCount = 0;
    private incarnation = 0;
    private id: string;
    private bornMs: number;
    private startedAt = 0;
    private fence = 0;
    private leaseUntilMs = 0;
    private cancelExpiry: (() => void) | undefined;
    private pendingPolls: (() => void)[] = [];

    constructor(private readonly clock: Clock, private readonly options: EndpointOptions) {
        this.id = options.id;
        this.bornMs = options.bornMs;
    }

    /** The current incarnation, or the last one while it is down. */
    public get life(): EndpointIncarnation {
        return { id: this.id, bornMs: this.bornMs };
    }

    public start(call: StartCall): ReturnType<EndpointControl["start"]> {
        const failed = (outcome: CallFailure): StartAnswer => ({ outcome, clockMs: undefined });
        return this.deliver<StartAnswer>("start", call, failed, () => {
            const outcome = this.isMeant(call) ? this.executeStart(call) : StartOutcome.OtherIncarnation;
            return { outcome, clockMs: this.clockMs };
        });
    }

    public stop(call: StopCall): ReturnType<EndpointControl["stop"]> {
        const failed = (outcome: CallFailure): StopAnswer => ({ outcome, clockMs: undefined });
        return this.deliver<StopAnswer>("stop", call, failed, () => {
            const outcome = this.isMeant(call) ? this.executeStop(call) : StopOutcome.OtherIncarnation;
            return { outcome, clockMs: this.clockMs };
        });
    }

    public async poll(call: PollCall): Promise<PollAnswer> {
        const failed = (outcome: CallFailure): PollAnswer => ({ outcome, clockMs: undefined, list: undefined });
        const answer = await this.deliver<PollAnswer>("look", call, failed, () => {
            if (!this.isMeant(call)) {
                return { outcome: PollOutcome.OtherIncarnation, clockMs: this.clockMs, list: undefined };
            }
            if (call.fence < this.fence) {
                return { outcome: PollOutcome.Fenced, clockMs: this.clockMs, list: undefined };
            }
            this.fence = call.fence;
            this.renewLease(call.untilMs ?? 0);
            this.finished = this.finished.filter(end => end.number > call.acknowledged);
            return { outcome: PollOutcome.Listed, clockMs: this.clockMs, list: this.list() };
        });
        if (answer.list !== undefined && this.finished.length === 0 && call.waitMs > 0) {
            const incarnation = this.incarnation;
            await this.waitForFinishedRun(call.waitMs);
            const ended = !this.up || this.incarnation !== incarnation;
            if (ended && this.options.resetsConnectionsAtCrash === true) {
                return failed(PollOutcome.Unanswered);
            }
            return { outcome: PollOutcome.Listed, clockMs: this.clockMs, list: this.list() };
        }
        return answer;
    }

    /** Ends all runs at once; calls fail until `restart`. */
    public crash(): void {
        this.up = false;
        for (const run of [...this.running]) {
            this.endRun(run, "crashed");
        }
        this.finished = [];
        if (this.options.resetsConnectionsAtCrash === true) {
            this.wakePolls();
        }
    }

    /**
     * Starts a new incarnation without any state of the previous one, under its id or another; `bornMs` must differ from
     * its start time.
     */
    public restart(bornMs: number, id = this.id): void {
        this.crash();
        this.id = id;
        this.bornMs = bornMs;
        this.up = true;
        this.incarnation += 1;
        this.startedAt = this.clock.now();
        this.highestRuns.clear();
        this.finished = [];
        this.finishedCount = 0;
        this.fence = 0;
        this.leaseUntilMs = 0;
    }

    /** Whether a call names this endpoint by its id; an incarnation with another id rejects it. */
    private isMeant({ endpoint }: { readonly endpoint: string; }): boolean {
        return endpoint === this.id;
    }

    /** Monotonic clock of the current incarnation. */
    private get clockMs(): number {
        return Math.floor((this.clock.now() - this.startedAt) * this.clockRate) + FIRST_CLOCK_MS;
    }

    private get clockRate(): number {
        return this.options.clockRate ?? 1;
    }

    private deliver<T>(
        kind: EndpointCallKind,
        { task = "", timeoutMs }: { readonly task?: string; readonly timeoutMs: number; },
        failed: (outcome: CallFailure) => T,
        execute: () => T,
    ): Promise<T> {
        return new Promise(resolve => {
            const delayMs = ONE_WAY_DELAY_MS[kind];
            if (!this.up && this.options.refusesWhileDown === true) {
                this.clock.schedule(2 * delayMs, () => resolve(failed(PollOutcome.Unreachable)));
                return;
            }
            const delivery = this.up ? this.options.deliveryOf(kind, task) : CallDelivery.Lost;
            const unanswered = failed(PollOutcome.Unanswered);
            const incarnation = this.incarnation;
            const executeIfStillUp = (): T => this.up && this.incarnation === incarnation ? execute() : unanswered;
            switch (delivery) {
                case CallDelivery.Answered:
                    this.clock.schedule(delayMs, () => {
                        const answer = executeIfStillUp();
                        this.clock.schedule(delayMs, () => resolve(answer));
                    });
                    return;
                case CallDelivery.Refused:
                    this.clock.schedule(2 * delayMs, () => resolve(failed(PollOutcome.Unreachable)));
                    return;
                case CallDelivery.ConnectionReset:
                    this.clock.schedule(2 * delayMs, () => resolve(unanswered));
                    return;
                case CallDelivery.AnswerReset:
                    this.clock.schedule(delayMs, executeIfStillUp);
                    this.clock.schedule(2 * delayMs, () => resolve(unanswered));
                    return;
                case CallDelivery.AnswerLost:
                    this.clock.schedule(timeoutMs, () => resolve(unanswered));
                    this.clock.schedule(delayMs, executeIfStillUp);
                    return;
                case CallDelivery.Delayed:
                    this.clock.schedule(timeoutMs, () => resolve(unanswered));
                    this.clock.schedule(this.options.deliveryDelayMs?.(kind) ?? DEFAULT_DELIVERY_DELAY_MS, () => {
                        if (
                            this.up
                            && (this.incarnation === incarnation
                                || this.options.acceptsCallsToEarlierIncarnations === true)
                        ) {
                            execute();
                        }
                    });
                    return;
                case CallDelivery.Lost:
                    this.clock.schedule(timeoutMs, () => resolve(unanswered));
                    return;
            }
        });
    }

    private executeStart(call: StartCall): StartOutcome {
        if (call.fence < this.fence) {
            return StartOutcome.Fenced;
        }
        this.fence = call.fence;
        if (this.runsOf(call.task).some(({ record }) => record.run === call.run)) {
            return StartOutcome.Started;
        }
        if (call.untilMs <= this.clockMs) {
            return StartOutcome.Late;
        }
        this.renewLease(call.untilMs);
        if (call.run <= (this.highestRuns.get(call.task) ?? 0)) {
            return StartOutcome.Stale;
        }
        const cpu = this.options.cpuOf(call.task);
        if (this.usedCpu() + cpu > this.options.capacity.cpu) {
            return StartOutcome.NoRoom;
        }
        this.startRun(call.task, call.run, cpu);
        return StartOutcome.Started;
    }

    private startRun(task: string, run: number, cpu: number): void {
        const record: RunRecord = {
            task,
            run,
            endpoint: this.id,
            from: this.clock.now(),
            to: undefined,
            how: undefined,
        };
        this.records.push(record);
        const work = this.options.work(task);
        const liveRun: LiveRun = { record, cpu, cancelEnd: () => undefined, stopping: false };
        liveRun.cancelEnd = this.clock.schedule(work.ms, () => this.endRun(liveRun, work.how));
        this.running.add(liveRun);
    }

    private executeStop(call: StopCall): StopOutcome {
        if (call.fence < this.fence) {
            return StopOutcome.Fenced;
        }
        this.fence = call.fence;
        this.highestRuns.set(call.task, Math.max(call.run, this.highestRuns.get(call.task) ?? 0));
        for (const run of this.runsOf(call.task)) {
            if (run.record.run <= call.run && !run.stopping) {
                run.stopping = true;
                this.clock.schedule(STOP_MS, () => this.endRun(run, "stopped"));
            }
        }
        return StopOutcome.Accepted;
    }

    private endRun(run: LiveRun, how: string): void {
        const { record } = run;
        if (!this.running.delete(run)) {
            return;
        }
        run.cancelEnd();
        record.to = this.clock.now();
        record.how = how;
        this.highestRuns.set(record.task, Math.max(record.run, this.highestRuns.get(record.task) ?? 0));
        this.finishedCount += 1;
        this.finished.push({ number: this.finishedCount, task: record.task, run: record.run, how });
        this.wakePolls();
    }

    private wakePolls(): void {
        const pending = this.pendingPolls;
        this.pendingPolls = [];
        pending.forEach(wake => wake());
    }

    private renewLease(untilMs: number): void {
        this.leaseUntilMs = Math.max(this.leaseUntilMs, Math.min(untilMs, this.clockMs + MAX_LEASE_MS));
        this.cancelExpiry?.();
        this.cancelExpiry = this.clock.schedule((this.leaseUntilMs - this.clockMs) / this.clockRate, () => {
            for (const run of [...this.running]) {
                this.endRun(run, "lapsed");
            }
        });
    }

    /** Unfinished runs of a task. There may be several, as a start with a higher run number does not end an earlier run. */
    private runsOf(task: string): readonly LiveRun[] {
        return [...this.running].filter(({ record }) => record.task === task);
    }

    private usedCpu(): number {
        return [...this.running].reduce((sum, run) => sum + run.cpu, 0);
    }

    private list(): RunList {
        return {
            bornMs: this.bornMs,
            running: [...this.running].map(({ record }) => ({ task: record.task, run: record.run })),
            finished: this.finished.map(({ number, task, run, how }) => ({
                number,
                task,
                run,
                reason: how,
                result: how === "done" ? RunResult.Done : how === "failed" ? RunResult.Failed : RunResult.Stopped,
            })),
        };
    }

    private waitForFinishedRun(waitMs: number): Promise<void> {
        return new Promise(resolve => {
            const cancel = this.clock.schedule(waitMs, resolve);
            this.pendingPolls.push(() => {
                cancel();
                resolve();
            });
        });
    }
}
