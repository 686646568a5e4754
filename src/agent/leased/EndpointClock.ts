import type { Clock } from "../../common/Clock.js";
import { LEASE_TIMES } from "../../common/leased/LEASE_TIMES.js";

/** Estimate of an endpoint's clock that is at most as late as the clock itself, also when that clock is slow. */
export class EndpointClock {
    private sample: { readonly clockMs: number; readonly at: number; } | undefined;

    constructor(private readonly clock: Clock) {}

    /** Takes the time that an answer gave. */
    public observe(clockMs: number | undefined): void {
        if (clockMs !== undefined) {
            this.sample = { clockMs, at: this.clock.now() };
        }
    }

    /** Forgets the clock of an earlier life. */
    public reset(): void {
        this.sample = undefined;
    }

    /** Time on the endpoint's clock in whole milliseconds, undefined before the first answer. */
    public now(): number | undefined {
        return this.sample
            && Math.floor(this.sample.clockMs + (this.clock.now() - this.sample.at) * LEASE_TIMES.MIN_CLOCK_RATE);
    }
}
