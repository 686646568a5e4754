import type { Clock } from "../common/Clock.js";
import type { EmulatedProcess } from "./EmulatedProcess.js";
import { settlePromises } from "./settlePromises.js";

/** Shortest delay of a timer, as in Node.js. */
const MIN_DELAY_MS = 1;

/** Turns of the event loop from the reading of a request until it is known whether the caller is still connected. */
const CONNECTED_CHECK_TURNS = 2;

/** Turns of the event loop with whose end a connection is reported as closed: the one that reads it, and the next. */
const DISCONNECT_TURNS = 2;

interface Timer {
    readonly at: number;
    readonly callback: () => void;
}

/**
 * Process with the event loop of Node.js, which can stand still. Each turn of the loop fires the timers that are due,
 * then handles the input that has arrived, then runs what waits for the end of the turn.
 */
export class StallingProcess implements EmulatedProcess, Clock {
    public readonly clock: Clock = this;
    private timers: readonly Timer[] = [];
    private input: (() => void)[] = [];
    private endOfTurn: (() => void)[] = [];
    /** Callbacks that the current phase of the turn has left, and the phases that follow it. */
    private callbacks: (() => void)[] = [];
    private phases: (() => (() => void)[])[] = [];
    private busyUntil = 0;
    private stalledUntil = 0;
    private plannedStall: { readonly ms: number; callbacks: number; } | undefined;
    private heldEffects: (() => void)[] = [];
    private ended = false;

    constructor(
        private readonly time: Clock,
        /** Duration of a turn of the event loop in which something is done, in milliseconds. */
        private readonly turnMs: () => number,
    ) {}

    public get isStalled(): boolean {
        return this.now() < this.stalledUntil;
    }

    public now(): number {
        return this.time.now();
    }

    public schedule(delayMs: number, callback: () => void): () => void {
        const timer = { at: this.now() + Math.max(MIN_DELAY_MS, delayMs), callback };
        this.timers = [...this.timers, timer];
        return () => {
            this.timers = this.timers.filter(other => other !== timer);
        };
    }

    public receive(event: () => void): void {
        if (!this.ended) {
            this.input.push(event);
        }
    }

    public send(effect: () => void): void {
        if (this.plannedStall?.callbacks === 0 && !this.ended) {
            this.heldEffects.push(effect);
        }
        else {
            effect();
        }
    }

    public call<T>(execute: () => Promise<T>, timeoutMs: number, unanswered: T): Promise<T> {
        return new Promise(resolve => {
            this.schedule(timeoutMs, () => resolve(unanswered));
            this.send(() => void execute().then(response => this.receive(() => resolve(response))));
        });
    }

    public serve<T>(
        handle: (disconnected: AbortSignal) => Promise<T>,
        disconnected: AbortSignal,
        dropped: T,
    ): Promise<T> {
        const reported = new AbortController();
        let isConnected = true;
        disconnected.addEventListener("abort", () => {
            this.receive(() => {
                isConnected = false;
                this.afterTurns(DISCONNECT_TURNS, () => reported.abort());
            });
        }, { once: true });
        return new Promise(resolve => {
            const respond = (response: T): void => this.send(() => resolve(response));
            const begin = (): void => {
                if (isConnected) {
                    void handle(reported.signal).then(respond);
                }
                else {
                    respond(dropped);
                }
            };
            this.receive(() => this.afterTurns(CONNECTED_CHECK_TURNS, begin));
        });
    }

    public async run(): Promise<void> {
        while (!this.isStalled && !this.ended) {
            this.heldEffects.splice(0).forEach(effect => effect());
            const callback = this.nextCallback();
            if (callback === undefined) {
                return;
            }
            callback();
            await settlePromises();
            this.countCallback();
        }
    }

    public stall(ms: number, callbacks: number): void {
        this.plannedStall ??= { ms, callbacks };
    }

    public end(): void {
        this.ended = true;
        this.heldEffects.splice(0).forEach(effect => effect());
    }

    /** Returns the next callback of the turn, or of the next turn; undefined if nothing is due. */
    private nextCallback(): (() => void) | undefined {
        while (this.callbacks.length === 0) {
            const phase = this.phases.shift();
            if (phase !== undefined) {
                this.callbacks = phase();
            }
            else if (!this.beginTurn()) {
                return undefined;
            }
        }
        return this.callbacks.shift();
    }

    private beginTurn(): boolean {
        const isDue = this.endOfTurn.length > 0 || this.input.length > 0 || this.dueTimers.length > 0;
        if (!isDue || this.now() < this.busyUntil) {
            return false;
        }
        this.busyUntil = this.now() + this.turnMs();
        this.phases = [() => this.takeDueTimers(), () => this.input.splice(0), () => this.endOfTurn.splice(0)];
        return true;
    }

    private get dueTimers(): readonly Timer[] {
        return this.timers.filter(({ at }) => at <= this.now());
    }

    /** Returns callbacks that fire the due timers, the longest overdue first, unless they are cancelled before. */
    private takeDueTimers(): (() => void)[] {
        return [...this.dueTimers].sort((a, b) => a.at - b.at).map(timer => () => {
            if (this.timers.includes(timer)) {
                this.timers = this.timers.filter(other => other !== timer);
                timer.callback();
            }
        });
    }

    private afterTurns(turns: number, callback: () => void): void {
        this.endOfTurn.push(turns > 1 ? () => this.afterTurns(turns - 1, callback) : callback);
    }

    /** Begins the planned stall once its last callback has run. */
    private countCallback(): void {
        if (this.plannedStall?.callbacks === 0) {
            this.stalledUntil = this.now() + this.plannedStall.ms;
            this.plannedStall = undefined;
        }
        else if (this.plannedStall !== undefined) {
            this.plannedStall.callbacks -= 1;
        }
    }
}
