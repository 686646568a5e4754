/** Least weight of one run in the estimate. */
const MIN_WEIGHT = 0.12;

/** Runs at the declared speed that the estimate of a new endpoint counts as, so that its first runs weigh more. */
const ASSUMED_RUNS = 1;

/** One run moves the logarithm of the estimate as if it were at most this far off; declared times are often far off. */
const MAX_DEVIATION = 1.2;

/** Observed over declared run time of one endpoint's recent runs, as an exponentially weighted geometric mean. */
export class SlownessEstimate {
    private logarithm = 0;
    private runs = 0;

    public get value(): number {
        return Math.exp(this.logarithm);
    }

    /** Takes a finished run. */
    public observe(ranMs: number, declaredMs: number): void {
        const sample = Math.log(Math.max(1, ranMs) / Math.max(1, declaredMs));
        const deviation = sample - this.logarithm;
        this.runs += 1;
        const weight = Math.max(MIN_WEIGHT, 1 / (this.runs + ASSUMED_RUNS));
        this.logarithm += weight * Math.max(-MAX_DEVIATION, Math.min(MAX_DEVIATION, deviation));
    }

    /** Forgets what was learnt of an earlier life. */
    public reset(): void {
        this.logarithm = 0;
        this.runs = 0;
    }
}
