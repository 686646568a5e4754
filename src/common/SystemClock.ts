import type { Clock } from "./Clock.js";

/** Clock of the running process, based on the monotonic clock of Node.js. */
export class SystemClock implements Clock {
    public now(): number {
        return performance.now();
    }

    public wallTime(): number {
        return Date.now();
    }

    public schedule(delayMs: number, callback: () => void): () => void {
        const timer = setTimeout(callback, Math.max(0, delayMs));
        return () => {
            clearTimeout(timer);
        };
    }
}
