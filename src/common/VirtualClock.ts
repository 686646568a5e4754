import type { Clock } from "./Clock.js";

interface Timer {
    readonly at: number;
    readonly order: number;
    readonly callback: () => void;
}

/** Clock for tests. Time advances only through `advance`, and timers fire in the order of their due times. */
export class VirtualClock implements Clock {
    private time = 0;
    private order = 0;
    private timers: Timer[] = [];

    public now(): number {
        return this.time;
    }

    public schedule(delayMs: number, callback: () => void): () => void {
        const timer: Timer = { at: this.time + Math.max(0, delayMs), order: this.order++, callback };
        this.timers.push(timer);
        return () => {
            this.timers = this.timers.filter(other => other !== timer);
        };
    }

    /**
     * Advances the time by `ms` milliseconds and fires every timer that becomes due, including timers set by these
     * callbacks.
     */
    public advance(ms: number): void {
        const target = this.time + ms;
        for (let timer = this.takeDue(target); timer !== undefined; timer = this.takeDue(target)) {
            this.time = timer.at;
            timer.callback();
        }
        this.time = target;
    }

    private takeDue(target: number): Timer | undefined {
        const due = this.timers
            .filter(timer => timer.at <= target)
            .sort((a, b) => a.at - b.at || a.order - b.order)[0];
        this.timers = this.timers.filter(timer => timer !== due);
        return due;
    }
}
