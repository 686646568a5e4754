import type { Clock } from "./Clock.js";
import type { Disposable } from "./Disposable.js";

/** Timer that fires once, at the earliest of the times that were asked for since it last fired. */
export class CoalescingTimer implements Disposable {
    private dueAt = Number.POSITIVE_INFINITY;
    private cancel: (() => void) | undefined;

    constructor(private readonly clock: Clock, private readonly fire: () => void) {}

    /** Fires in `delayMs` milliseconds at the latest. */
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
