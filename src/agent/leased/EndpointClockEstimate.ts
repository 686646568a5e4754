import type { Clock } from "../../common/Clock.js";
import { LEASE_TIMES } from "../../common/leased/LEASE_TIMES.js";

/** Estimate of an endpoint's clock that is never ahead of it, even if that clock is slow. */
export class EndpointClockEstimate {
    private sample: { readonly clockMs: number; readonly at: number; } | undefined;

    constructor(private readonly clock: Clock) {}

    /**
     * Updates the estimate with the clock of a response. A late agent reads a response long after it was sent, so one that
     * is behind the estimate does not set it back.
     */
    public observe(clockMs: number | undefined): void {
        if (clockMs !== undefined && clockMs > (this.now() ?? Number.NEGATIVE_INFINITY)) {
            this.sample = { clockMs, at: this.clock.now() };
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
