const WINDOW_MS = 500;
const LEARNING_RATE = 0.3;
/** Bounds on the learnt rate per slot, so that odd windows cannot close or open the admission. */
const MIN_PER_SLOT = 0.2;
const MAX_PER_SLOT = 2;

/** Expected work finished per millisecond while tasks were queued, learnt per slot. */
export class ServiceRate {
    private perSlot = 1;
    private windowStart: number | undefined;
    private windowMs = 0;

    /** Work per millisecond that `slots` slots do. */
    public perMs(slots: number): number {
        return this.perSlot * slots;
    }

    public finished(workMs: number, slots: number, backlogged: boolean, now: number): void {
        if (!backlogged || slots <= 0) {
            this.windowStart = undefined;
            return;
        }
        if (this.windowStart === undefined) {
            this.windowStart = now;
            this.windowMs = 0;
            return;
        }
        this.windowMs += workMs;
        const elapsed = now - this.windowStart;
        if (elapsed >= WINDOW_MS) {
            const observed = this.windowMs / elapsed / slots;
            const bounded = Math.min(MAX_PER_SLOT, Math.max(MIN_PER_SLOT, observed));
            this.perSlot += (bounded - this.perSlot) * LEARNING_RATE;
            this.windowStart = now;
            this.windowMs = 0;
        }
    }
}
