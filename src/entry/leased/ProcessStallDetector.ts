import type { Clock } from "../../common/Clock.js";
import type { Disposable } from "../../common/Disposable.js";
import { LEASE_TIMES } from "../../common/leased/LEASE_TIMES.js";

/** How often the detector reads the clocks. */
const CHECK_INTERVAL_MS = 100;

/**
 * A longer time between two checks counts as a stall. By then agents have stopped the runs of this entry, so most tasks
 * are ready to be placed again at once; callers that have disconnected submit again 700 ms later at the earliest.
 */
const MAX_GAP_MS = LEASE_TIMES.ENTRY_LEASE_MS;

/**
 * Number of checks after a stall until everything that arrived meanwhile has been read. The end of a connection is read
 * in one turn of the event loop and reported in the next; each check takes at least one turn.
 */
const CHECKS_UNTIL_READ = 3;
const AFTER_STALL_INTERVAL_MS = 10;

/**
 * Detects that the process was stalled until just now, so that input that arrived meanwhile, such as the end of a
 * caller's connection, may not have been read yet. Wall-clock time is compared too, because the monotonic clock does
 * not advance while the machine is suspended. When wall-clock time is set forward, placement pauses for a short time
 * without need.
 */
export class ProcessStallDetector implements Disposable {
    private checkedAt = 0;
    private checkedAtWallTime = 0;
    private checksLeft = 0;
    private cancelCheck: () => void;

    constructor(private readonly clock: Clock) {
        this.cancelCheck = this.scheduleCheck();
    }

    public get mayHaveUnreadInput(): boolean {
        return this.checksLeft > 0 || this.hasStalled();
    }

    public dispose(): void {
        this.cancelCheck();
    }

    /** Records the present times and schedules the next check; returns the function that cancels it. */
    private scheduleCheck(): () => void {
        this.checkedAt = this.clock.now();
        this.checkedAtWallTime = this.wallTime();
        return this.clock.schedule(this.checksLeft > 0 ? AFTER_STALL_INTERVAL_MS : CHECK_INTERVAL_MS, () => {
            this.checksLeft = this.hasStalled() ? CHECKS_UNTIL_READ : Math.max(0, this.checksLeft - 1);
            this.cancelCheck = this.scheduleCheck();
        });
    }

    private hasStalled(): boolean {
        const gapMs = Math.max(this.clock.now() - this.checkedAt, this.wallTime() - this.checkedAtWallTime);
        return gapMs > MAX_GAP_MS;
    }

    private wallTime(): number {
        return this.clock.wallTime?.() ?? 0;
    }
}
