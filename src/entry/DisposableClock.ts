import type { Clock } from "../common/Clock.js";
import type { Disposable } from "../common/Disposable.js";

/** Clock that cancels its timers on disposal, so that a disposed role does not keep the process running. */
export class DisposableClock implements Clock, Disposable {
    private readonly timers = new Set<() => void>();
    private disposed = false;

    constructor(private readonly clock: Clock) {}

    public now(): number {
        return this.clock.now();
    }

    public schedule(delayMs: number, callback: () => void): () => void {
        if (this.disposed) {
            return () => undefined;
        }
        const stop = this.clock.schedule(delayMs, () => {
            this.timers.delete(cancel);
            callback();
        });
        const cancel = () => {
            this.timers.delete(cancel);
            stop();
        };
        this.timers.add(cancel);
        return cancel;
    }

    public dispose(): void {
        this.disposed = true;
        for (const cancel of [...this.timers]) {
            cancel();
        }
    }
}
