import type { Clock } from "../../common/Clock.js";
import type { Disposable } from "../../common/Disposable.js";
import { LEASE_TIMES } from "../../common/leased/LEASE_TIMES.js";

/** How often the detector looks at the clock. */
const LOOK_INTERVAL_MS = 100;

/**
 * Time between two looks beyond which the process stood still. By then agents have stopped its runs, and most tasks come back
 * at once; callers that left submit again 700 ms later at the earliest.
 */
const MAX_GAP_MS = LEASE_TIMES.ENTRY_LEASE_MS;

/**
 * Looks after a standstill until what arrived meanwhile has been read. The end of a connection is read in one turn of the
 * event loop and told in the next; each look takes one turn at least.
 */
const LOOKS_UNTIL_READ = 3;
const READ_INTERVAL_MS = 10;

/**
 * Tells whether the process stood still just now: what arrived meanwhile, as the end of callers, may not have been read. The
 * time of day shows a suspended machine, which the steady clock does not count; a step of it costs a short wait.
 */
export class StandstillDetector implements Disposable {
    private lookedAt = 0;
    private lookedAtTimeOfDay = 0;
    private looksLeft = 0;
    private cancelLook: () => void;

    constructor(private readonly clock: Clock) {
        this.cancelLook = this.lookAgain();
    }

    public get unread(): boolean {
        return this.looksLeft > 0 || this.stoodStill();
    }

    public dispose(): void {
        this.cancelLook();
    }

    /** Notes the time, and looks whether the process stood still when it is time to do so again. */
    private lookAgain(): () => void {
        this.lookedAt = this.clock.now();
        this.lookedAtTimeOfDay = this.timeOfDay();
        return this.clock.schedule(this.looksLeft > 0 ? READ_INTERVAL_MS : LOOK_INTERVAL_MS, () => {
            this.looksLeft = this.stoodStill() ? LOOKS_UNTIL_READ : Math.max(0, this.looksLeft - 1);
            this.cancelLook = this.lookAgain();
        });
    }

    private stoodStill(): boolean {
        const gapMs = Math.max(this.clock.now() - this.lookedAt, this.timeOfDay() - this.lookedAtTimeOfDay);
        return gapMs > MAX_GAP_MS;
    }

    private timeOfDay(): number {
        return this.clock.wallTime?.() ?? 0;
    }
}
