/** Minimum weight of one run in the estimate. */
const MIN_WEIGHT = 0.12;

/**
 * The initial estimate weighs as much as this many runs at the declared speed, so that the first observed runs weigh
 * more.
 */
const ASSUMED_RUNS = 1;

/**
 * Largest deviation that one run counts with, on the logarithmic scale, because declared run times are often far off.
 */
const MAX_DEVIATION = 1.2;

/**
 * Ratio of observed to declared run time of one endpoint's recent runs, as an exponentially weighted geometric mean.
 */
export class SlowdownEstimate {
    private logarithm = 0;
    private runs = 0;

    public get value(): number {
        return Math.exp(this.logarithm);
    }

    /** Adds a finished run to the estimate. */
    public observe(ranMs: number, declaredMs: number): void {
        const sample = Math.log(Math.max(1, ranMs) / Math.max(1, declaredMs));
        const deviation = sample - this.logarithm;
        this.runs += 1;
        const weight = Math.max(MIN_WEIGHT, 1 / (this.runs + ASSUMED_RUNS));
        this.logarithm += weight * Math.max(-MAX_DEVIATION, Math.min(MAX_DEVIATION, deviation));
    }

    /** Discards what was learned about an earlier incarnation. */
    public reset(): void {
        this.logarithm = 0;
        this.runs = 0;
    }
}
