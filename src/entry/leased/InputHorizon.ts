import type { Clock } from "../../common/Clock.js";
import type { Disposable } from "../../common/Disposable.js";
import { Emitter } from "../../common/Emitter.js";
import { LEASE_TIMES } from "../../common/leased/LEASE_TIMES.js";
import type { Log } from "../../common/log/Log.js";
import { EntryLeaseEvent } from "./EntryLeaseEvent.js";

/** How often the horizon advances in a process that is not late. */
const INTERVAL_MS = LEASE_TIMES.ENTRY_LEASE_RENEWAL_MS;

/** Smallest advance that is announced. Turns of 50 ms and more advance the horizon more than once an interval. */
const MIN_ADVANCE_MS = INTERVAL_MS / 2;

/**
 * Number of checks after which everything that had arrived at a check has been reported. The end of a connection is read
 * in one turn of the event loop and reported in the next. Timers fire before input is read, and each check takes a turn.
 */
const CHECKS_UNTIL_REPORTED = 2;

/** Usual duration of these checks; longer ones mean that the process is late. */
const PROMPT_REPORT_MS = 5;

/**
 * Highest age of the horizon at which tasks are placed. It leaves 160 ms of the entry lease for an order to arrive; turns
 * of 130 ms keep below it.
 */
const MAX_AGE_MS = 400;

/** The process counts as late until its horizon has been recent for this long, which limits the number of log lines. */
const PROMPT_AFTER_MS = 1000;

/** Time on both clocks. */
interface Mark {
    readonly at: number;
    readonly wallTime: number;
}

/** Time in which the process is late to read its input. */
interface LatePhase {
    readonly from: number;
    readonly lastAt: number;
    readonly longestMs: number;
}

/**
 * Time up to which everything that had arrived at this process has been read and reported. A caller's connection that is
 * not known to have ended was open at that time, so entry leases are computed from it. A process that is late or stalled
 * has an old horizon, however late its timers fire. Wall-clock time is compared too, because the monotonic clock does not
 * advance while the machine is suspended. When wall-clock time is set forward, the horizon seems old for one interval.
 */
export class InputHorizon implements Disposable {
    private readonly advances = new Emitter<undefined>();
    /** Times of the last checks, the oldest first, of which not everything that had arrived may have been reported. */
    private readonly unreported: Mark[] = [];
    /** The horizon on both clocks. It starts at the creation of this object, before any caller is connected. */
    private reported: Mark;
    /** Horizon at the last `onAdvance`. */
    private announcedAt: number;
    /** Time of the first check of the current interval. */
    private intervalFrom: number;
    private latePhase: LatePhase | undefined;
    private cancelCheck: () => void;

    /** Fires when the horizon has advanced by half an interval or more. */
    public readonly onAdvance = this.advances.event;

    constructor(private readonly clock: Clock, private readonly log: Log) {
        this.reported = this.mark();
        this.announcedAt = this.reported.at;
        this.intervalFrom = this.reported.at;
        this.cancelCheck = this.scheduleCheck(INTERVAL_MS);
    }

    /** The horizon on the monotonic clock. It is set back by the time for which the machine was suspended since. */
    public get at(): number {
        return this.clock.now() - this.ageMs;
    }

    /** Whether the horizon is too old to place tasks. */
    public get isTooOld(): boolean {
        return this.ageMs > MAX_AGE_MS;
    }

    public dispose(): void {
        this.cancelCheck();
        this.advances.dispose();
    }

    private get ageMs(): number {
        const { at, wallTime } = this.mark();
        return Math.max(at - this.reported.at, wallTime - this.reported.wallTime);
    }

    private mark(): Mark {
        return { at: this.clock.now(), wallTime: this.clock.wallTime?.() ?? 0 };
    }

    private scheduleCheck(delayMs: number): () => void {
        return this.clock.schedule(delayMs, () => this.check());
    }

    /**
     * Performs a check, in the timers phase of a turn: advances the horizon to the time of the check before the last
     * `CHECKS_UNTIL_REPORTED`, schedules the next check, and announces the horizon if it has advanced far enough.
     * Checks run in consecutive turns until the horizon has reached the first check of the interval.
     */
    private check(): void {
        const now = this.clock.now();
        this.recordLateness(now, this.ageMs);
        if (this.reported.at >= this.intervalFrom) {
            this.intervalFrom = now;
        }
        this.unreported.push(this.mark());
        if (this.unreported.length > CHECKS_UNTIL_REPORTED) {
            this.reported = this.unreported.shift() ?? this.reported;
        }
        const isReached = this.reported.at >= this.intervalFrom;
        this.cancelCheck = this.scheduleCheck(isReached ? this.delayAfter(now - this.intervalFrom) : 0);
        if (this.reported.at - this.announcedAt >= MIN_ADVANCE_MS) {
            this.announcedAt = this.reported.at;
            this.advances.fire(undefined);
        }
    }

    /**
     * Delay until the next interval, when the last one was reported `reportDelayMs` after its beginning. In a late process
     * the next one will be reported as late, so it begins that much earlier.
     */
    private delayAfter(reportDelayMs: number): number {
        const lateMs = Math.max(0, reportDelayMs - PROMPT_REPORT_MS);
        return Math.max(0, INTERVAL_MS - reportDelayMs - lateMs);
    }

    /** Logs the beginning and the end of a phase in which the horizon becomes too old again and again. */
    private recordLateness(now: number, ageMs: number): void {
        const phase = this.latePhase;
        if (ageMs > MAX_AGE_MS) {
            if (phase === undefined) {
                this.log.write(EntryLeaseEvent.InputLate, { lateMs: Math.round(ageMs) });
            }
            const { from, longestMs } = phase ?? { from: now - ageMs, longestMs: 0 };
            this.latePhase = { from, lastAt: now, longestMs: Math.max(longestMs, ageMs) };
        }
        else if (phase !== undefined && now - phase.lastAt > PROMPT_AFTER_MS) {
            const fields = { lastedMs: Math.round(phase.lastAt - phase.from), longestMs: Math.round(phase.longestMs) };
            this.log.write(EntryLeaseEvent.InputPrompt, fields);
            this.latePhase = undefined;
        }
    }
}
