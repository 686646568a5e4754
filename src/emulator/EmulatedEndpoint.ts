import type { EndpointControl } from "../agent/leased/EndpointControl.js";
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

/** What the clock of a new life shows. */
const FIRST_CLOCK_MS = 1;

const STOP_MS = 50;
const MAX_LEASE_MS = 1000;

/** Ways to the endpoint; a look overtakes a start. */
const TRANSIT_MS = { start: 2, stop: 1, look: 1 } as const;

/** When a late call is carried out, unless the options say otherwise. */
const LATE_MS = 2500;

type StartCall = Parameters<EndpointControl["start"]>[0];
type StopCall = Parameters<EndpointControl["stop"]>[0];
type LookCall = Parameters<EndpointControl["poll"]>[0];
type StartAnswer = Awaited<ReturnType<EndpointControl["start"]>>;
type StopAnswer = Awaited<ReturnType<EndpointControl["stop"]>>;
type LookAnswer = Awaited<ReturnType<EndpointControl["poll"]>>;

type CallFailure = typeof PollOutcome.Unanswered | typeof PollOutcome.Unreachable;

interface LiveRun {
    readonly record: RunRecord;
    readonly cpu: number;
    cancelEnd: () => void;
    stopping: boolean;
}

interface EndpointOptions {
    readonly id: string;
    /** Start of its first life. */
    readonly bornMs: number;
    readonly capacity: Resources;
    /** Run time of a task in milliseconds, and how it ends. */
    readonly work: (task: string) => { readonly ms: number; readonly how: string; };
    /** What a task occupies. */
    readonly cpuOf: (task: string) => number;
    /** Fate of the next call. */
    readonly deliveryOf: (call: EndpointCallKind, task: string) => CallDelivery;
    /** Time after which a late call is carried out. */
    readonly deliveryDelayMs?: (call: EndpointCallKind) => number;
    /**
     * Whether late calls are carried out in a life that began after they were sent. A life that keeps its id takes them: the
     * instance header names only the id, the life has seen no fence, and its clock begins anew.
     */
    readonly acceptsCallsToEarlierIncarnations?: boolean;
    /** Milliseconds of its own clock in a millisecond; the platform's clocks may be 2% slow. */
    readonly clockRate?: number;
    /** Whether connections are refused while it is down; otherwise calls are lost. */
    readonly refusesWhileDown?: boolean;
}

/** Endpoint with leases, fences, room and a list of ends, as the platform describes its workers; on any clock. */
export class EmulatedEndpoint implements EndpointControl {
    /** All runs there ever were. */
    public readonly records: RunRecord[] = [];
    /** False while nothing answers. */
    public up = true;
    private readonly live = new Set<LiveRun>();
    private readonly highest = new Map<string, number>();
    private finished: { number: number; task: string; run: number; how: string; }[] = [];
    private count = 0;
    private life = 0;
    private bornMs: number;
    private bornAt = 0;
    private fence = 0;
    private untilMs = 0;
    private cancelLapse: (() => void) | undefined;
    private waiting: (() => void)[] = [];

    constructor(private readonly clock: Clock, private readonly options: EndpointOptions) {
        this.bornMs = options.bornMs;
    }

    public start(call: StartCall): ReturnType<EndpointControl["start"]> {
        const failed = (outcome: CallFailure): StartAnswer => ({ outcome, clockMs: undefined });
        return this.perform<StartAnswer>("start", call, failed, () => {
            return { outcome: this.carryOutStart(call), clockMs: this.clockMs };
        });
    }

    public stop(call: StopCall): ReturnType<EndpointControl["stop"]> {
        const failed = (outcome: CallFailure): StopAnswer => ({ outcome, clockMs: undefined });
        return this.perform<StopAnswer>("stop", call, failed, () => {
            return { outcome: this.carryOutStop(call), clockMs: this.clockMs };
        });
    }

    public async poll(call: LookCall): Promise<LookAnswer> {
        const failed = (outcome: CallFailure): LookAnswer => ({ outcome, clockMs: undefined, list: undefined });
        const answer = await this.perform<LookAnswer>("look", call, failed, () => {
            if (call.fence < this.fence) {
                return { outcome: PollOutcome.Fenced, clockMs: this.clockMs, list: undefined };
            }
            this.fence = call.fence;
            this.renew(call.untilMs ?? 0);
            this.finished = this.finished.filter(end => end.number > call.acknowledged);
            return { outcome: PollOutcome.Listed, clockMs: this.clockMs, list: this.list() };
        });
        if (answer.list !== undefined && this.finished.length === 0 && call.waitMs > 0) {
            await this.untilEnd(call.waitMs);
            return { outcome: PollOutcome.Listed, clockMs: this.clockMs, list: this.list() };
        }
        return answer;
    }

    /** Ends everything at once and answers nothing until it is started again. */
    public crash(): void {
        this.up = false;
        for (const run of [...this.live]) {
            this.end(run, "crashed");
        }
        this.finished = [];
    }

    /** Begins a new life that remembers nothing; `bornMs` tells it from the one before. */
    public restart(bornMs: number): void {
        this.crash();
        this.bornMs = bornMs;
        this.up = true;
        this.life += 1;
        this.bornAt = this.clock.now();
        this.highest.clear();
        this.finished = [];
        this.count = 0;
        this.fence = 0;
        this.untilMs = 0;
    }

    /** Steady clock of this life. */
    private get clockMs(): number {
        return Math.floor((this.clock.now() - this.bornAt) * this.clockRate) + FIRST_CLOCK_MS;
    }

    private get clockRate(): number {
        return this.options.clockRate ?? 1;
    }

    private perform<T>(
        kind: EndpointCallKind,
        { task = "", timeoutMs }: { readonly task?: string; readonly timeoutMs: number; },
        failed: (outcome: CallFailure) => T,
        act: () => T,
    ): Promise<T> {
        return new Promise(resolve => {
            const transitMs = TRANSIT_MS[kind];
            if (!this.up && this.options.refusesWhileDown === true) {
                this.clock.schedule(2 * transitMs, () => resolve(failed(PollOutcome.Unreachable)));
                return;
            }
            const fate = this.up ? this.options.deliveryOf(kind, task) : CallDelivery.Lost;
            const lost = failed(PollOutcome.Unanswered);
            const life = this.life;
            const reach = (): T => this.up && this.life === life ? act() : lost;
            switch (fate) {
                case CallDelivery.Answered:
                    this.clock.schedule(transitMs, () => {
                        const answer = reach();
                        this.clock.schedule(transitMs, () => resolve(answer));
                    });
                    return;
                case CallDelivery.ConnectionReset:
                    this.clock.schedule(2 * transitMs, () => resolve(lost));
                    return;
                case CallDelivery.AnswerReset:
                    this.clock.schedule(transitMs, reach);
                    this.clock.schedule(2 * transitMs, () => resolve(lost));
                    return;
                case CallDelivery.AnswerLost:
                    this.clock.schedule(timeoutMs, () => resolve(lost));
                    this.clock.schedule(transitMs, reach);
                    return;
                case CallDelivery.Delayed:
                    this.clock.schedule(timeoutMs, () => resolve(lost));
                    this.clock.schedule(this.options.deliveryDelayMs?.(kind) ?? LATE_MS, () => {
                        if (
                            this.up && (this.life === life || this.options.acceptsCallsToEarlierIncarnations === true)
                        ) {
                            act();
                        }
                    });
                    return;
                case CallDelivery.Lost:
                    this.clock.schedule(timeoutMs, () => resolve(lost));
                    return;
            }
        });
    }

    private carryOutStart(call: StartCall): StartOutcome {
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
        this.renew(call.untilMs);
        if (call.run <= (this.highest.get(call.task) ?? 0)) {
            return StartOutcome.Stale;
        }
        const cpu = this.options.cpuOf(call.task);
        if (this.usedCpu() + cpu > this.options.capacity.cpu) {
            return StartOutcome.NoRoom;
        }
        this.begin(call.task, call.run, cpu);
        return StartOutcome.Started;
    }

    private begin(task: string, run: number, cpu: number): void {
        const record: RunRecord = {
            task,
            run,
            endpoint: this.options.id,
            from: this.clock.now(),
            to: undefined,
            how: undefined,
        };
        this.records.push(record);
        const work = this.options.work(task);
        const live: LiveRun = { record, cpu, cancelEnd: () => undefined, stopping: false };
        live.cancelEnd = this.clock.schedule(work.ms, () => this.end(live, work.how));
        this.live.add(live);
    }

    private carryOutStop(call: StopCall): StopOutcome {
        if (call.fence < this.fence) {
            return StopOutcome.Fenced;
        }
        this.fence = call.fence;
        this.highest.set(call.task, Math.max(call.run, this.highest.get(call.task) ?? 0));
        for (const run of this.runsOf(call.task)) {
            if (run.record.run <= call.run && !run.stopping) {
                run.stopping = true;
                this.clock.schedule(STOP_MS, () => this.end(run, "stopped"));
            }
        }
        return StopOutcome.Accepted;
    }

    private end(run: LiveRun, how: string): void {
        const { record } = run;
        if (!this.live.delete(run)) {
            return;
        }
        run.cancelEnd();
        record.to = this.clock.now();
        record.how = how;
        this.highest.set(record.task, Math.max(record.run, this.highest.get(record.task) ?? 0));
        this.count += 1;
        this.finished.push({ number: this.count, task: record.task, run: record.run, how });
        const waiting = this.waiting;
        this.waiting = [];
        waiting.forEach(wake => wake());
    }

    private renew(untilMs: number): void {
        this.untilMs = Math.max(this.untilMs, Math.min(untilMs, this.clockMs + MAX_LEASE_MS));
        this.cancelLapse?.();
        this.cancelLapse = this.clock.schedule((this.untilMs - this.clockMs) / this.clockRate, () => {
            for (const run of [...this.live]) {
                this.end(run, "lapsed");
            }
        });
    }

    /** A start under a higher number begins a further run of the task, also while an earlier one is there. */
    private runsOf(task: string): readonly LiveRun[] {
        return [...this.live].filter(({ record }) => record.task === task);
    }

    private usedCpu(): number {
        return [...this.live].reduce((sum, run) => sum + run.cpu, 0);
    }

    private list(): RunList {
        return {
            bornMs: this.bornMs,
            running: [...this.live].map(({ record }) => ({ task: record.task, run: record.run })),
            finished: this.finished.map(({ number, task, run, how }) => ({
                number,
                task,
                run,
                reason: how,
                result: how === "done" ? RunResult.Done : how === "failed" ? RunResult.Failed : RunResult.Stopped,
            })),
        };
    }

    private untilEnd(waitMs: number): Promise<void> {
        return new Promise(resolve => {
            const cancel = this.clock.schedule(waitMs, resolve);
            this.waiting.push(() => {
                cancel();
                resolve();
            });
        });
    }
}
