import type { Clock } from "./Clock.js";
import type { Disposable } from "./Disposable.js";

/** Timer that coalesces requests: it fires once, at the earliest of the times requested since it last fired. */
export class CoalescingTimer implements Disposable {
    private dueAt = Number.POSITIVE_INFINITY;
    private cancel: (() => void) | undefined;

    constructor(private readonly clock: Clock, private readonly fire: () => void) {}

    /** Makes the timer fire in `delayMs` milliseconds at the latest. */
    public fireWithin(delayMs: number): void {
        const at = this.clock.now() + delayMs;
        if (this.dueAt <= at) {
            return;
        }
        this.cancel?.();
        this.dueAt = at;
        this.cancel = this.clock.schedule(delayMs, () => {
            this.dueAt = Number.POSITIVE_INFINITY;
            this.fire();
        });
    }

    public dispose(): void {
        this.cancel?.();
    }
}
