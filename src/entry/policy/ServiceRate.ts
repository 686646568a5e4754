const WINDOW_MS = 500;
const LEARNING_RATE = 0.3;
/** Bounds of the learned rate per slot, so that an unusual window can neither stop admission nor admit everything. */
const MIN_PER_SLOT = 0.2;
const MAX_PER_SLOT = 2;

/** Expected work finished per millisecond and slot, learned only while tasks were queued. */
export class ServiceRate {
    private perSlot = 1;
    private windowStart: number | undefined;
    private windowWorkMs = 0;

    /** Work per millisecond that this number of slots does. */
    public perMs(slots: number): number {
        return this.perSlot * slots;
    }

    public recordFinished(workMs: number, slots: number, backlogged: boolean, now: number): void {
        if (!backlogged || slots <= 0) {
            this.windowStart = undefined;
            return;
        }
        if (this.windowStart === undefined) {
            this.windowStart = now;
            this.windowWorkMs = 0;
            return;
        }
        this.windowWorkMs += workMs;
        const elapsed = now - this.windowStart;
        if (elapsed >= WINDOW_MS) {
            const observed = this.windowWorkMs / elapsed / slots;
            const bounded = Math.min(MAX_PER_SLOT, Math.max(MIN_PER_SLOT, observed));
            this.perSlot += (bounded - this.perSlot) * LEARNING_RATE;
            this.windowStart = now;
            this.windowWorkMs = 0;
        }
    }
}
