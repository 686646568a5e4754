import type { SpeedEstimates } from "./SpeedEstimates.js";

const LEARNING_RATE = 0.05;
/** With fewer samples an agent counts as average, so that one unusual task does not decide its rank. */
const MIN_SAMPLES = 4;
/**
 * Limit of the difference between sample and estimate, as a logarithm to base 2, so that stragglers have little weight.
 */
const MAX_DIFFERENCE_LOG2 = 1.5;

interface Estimate {
    log2: number;
    samples: number;
}

/**
 * Exponentially weighted average of the logarithm of observed over expected run time, with bounded steps. Ratios are
 * relative to the mean of all agents. The size estimates learn from run times divided by these ratios, so without a
 * fixed mean the two estimates would drift in opposite directions.
 */
export class RelativeSpeedEstimates implements SpeedEstimates {
    private readonly estimates = new Map<string, Estimate>();
    private sumLog2 = 0;
    private known = 0;

    public ratio(agent: string): number {
        const estimate = this.estimates.get(agent);
        return estimate === undefined || estimate.samples < MIN_SAMPLES ? 1 : 2 ** (estimate.log2 - this.meanLog2());
    }

    public observe(agent: string, expectedMs: number, runMs: number): void {
        const estimate = this.estimates.get(agent) ?? { log2: 0, samples: 0 };
        const difference = Math.log2(Math.max(1, runMs) / Math.max(1, expectedMs)) - estimate.log2;
        this.count(estimate, -1);
        const step = Math.min(MAX_DIFFERENCE_LOG2, Math.max(-MAX_DIFFERENCE_LOG2, difference));
        estimate.samples += 1;
        estimate.log2 += step * Math.max(LEARNING_RATE, 1 / (estimate.samples + 1));
        this.estimates.set(agent, estimate);
        this.count(estimate, 1);
    }

    public forget(agent: string): void {
        const estimate = this.estimates.get(agent);
        if (estimate !== undefined) {
            this.count(estimate, -1);
            this.estimates.delete(agent);
        }
    }

    private meanLog2(): number {
        return this.known === 0 ? 0 : this.sumLog2 / this.known;
    }

    private count(estimate: Estimate, sign: 1 | -1): void {
        if (estimate.samples >= MIN_SAMPLES) {
            this.known += sign;
            this.sumLog2 += sign * estimate.log2;
        }
    }
}
