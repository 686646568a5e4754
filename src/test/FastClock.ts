import type { Clock } from "../common/Clock.js";

/** Clock that runs `factor` times faster than real time; shortens tests that use real sockets. */
export class FastClock implements Clock {
    constructor(private readonly factor: number) {}

    public now(): number {
        return performance.now() * this.factor;
    }

    public schedule(delayMs: number, callback: () => void): () => void {
        const timer = setTimeout(callback, Math.max(0, delayMs / this.factor));
        return () => {
            clearTimeout(timer);
        };
    }
}
