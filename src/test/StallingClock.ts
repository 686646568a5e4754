import type { Clock } from "../common/Clock.js";

interface Timer {
    readonly at: number;
    readonly callback: () => void;
}

/** Clock of a process that can stall: timers that become due during a stall fire late, when the process resumes. */
export class StallingClock implements Clock {
    private time = 0;
    private suspendedMs = 0;
    private timers: readonly Timer[] = [];

    public now(): number {
        return this.time;
    }

    public wallTime(): number {
        return this.time + this.suspendedMs;
    }

    public schedule(delayMs: number, callback: () => void): () => void {
        const timer = { at: this.time + delayMs, callback };
        this.timers = [...this.timers, timer];
        return () => {
            this.timers = this.timers.filter(other => other !== timer);
        };
    }

    /** Advances time in one step, then fires each due timer once, the longest overdue first. */
    public advance(ms: number): void {
        this.stall(ms);
        const due = this.timers.filter(timer => timer.at <= this.time).sort((a, b) => a.at - b.at);
        for (const timer of due) {
            if (this.timers.includes(timer)) {
                this.timers = this.timers.filter(other => other !== timer);
                timer.callback();
            }
        }
    }

    /** Suspends the machine: wall-clock time advances, the monotonic clock does not. */
    public suspend(ms: number): void {
        this.suspendedMs += ms;
    }

    /** Stalls the process: advances time without firing any timer. */
    public stall(ms: number): void {
        this.time += ms;
    }
}
