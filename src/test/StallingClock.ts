import type { Clock } from "../common/Clock.js";

interface Timer {
    readonly at: number;
    readonly callback: () => void;
}

/** Clock of a process that can stand still: timers that became due meanwhile fire late, once it goes on. */
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

    /** Lets time pass in one step, then fires what is due, once each, the longest due first. */
    public pass(ms: number): void {
        this.stand(ms);
        const due = this.timers.filter(timer => timer.at <= this.time).sort((a, b) => a.at - b.at);
        for (const timer of due) {
            if (this.timers.includes(timer)) {
                this.timers = this.timers.filter(other => other !== timer);
                timer.callback();
            }
        }
    }

    /** Suspends the machine, which the steady clock does not count. */
    public suspend(ms: number): void {
        this.suspendedMs += ms;
    }

    /** Lets time pass without firing anything. */
    public stand(ms: number): void {
        this.time += ms;
    }
}
