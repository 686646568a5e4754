import type { Clock } from "../../common/Clock.js";
import { LEASE_TIMES } from "../../common/leased/LEASE_TIMES.js";

/** Estimate of an endpoint's clock that is never ahead of it, even if that clock is slow. */
export class EndpointClockEstimate {
    private sample: { readonly clockMs: number; readonly at: number; } | undefined;

    constructor(private readonly clock: Clock) {}

    /**
     * Updates the estimate with the clock of the response to a call sent at `sentAt`. A late agent reads a response long
     * after it was sent, so a lower clock sets the estimate back only if the endpoint's clock cannot have reached the
     * estimate since the call: it stood still, or is that of another incarnation.
     */
    public observe(clockMs: number | undefined, sentAt: number): void {
        if (clockMs === undefined) {
            return;
        }
        const at = this.clock.now();
        const estimateMs = this.now();
        const highestMs = clockMs + at - sentAt;
        if (estimateMs === undefined || clockMs > estimateMs || highestMs < estimateMs) {
            this.sample = { clockMs, at };
        }
    }

    /** Discards the clock of an earlier incarnation. */
    public reset(): void {
        this.sample = undefined;
    }

    /** Time on the endpoint's clock in whole milliseconds, undefined before the first response. */
    public now(): number | undefined {
        return this.sample
            && Math.floor(this.sample.clockMs + (this.clock.now() - this.sample.at) * LEASE_TIMES.MIN_CLOCK_RATE);
    }
}
