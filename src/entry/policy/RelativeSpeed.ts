import type { Speed } from "./Speed.js";

const LEARNING_RATE = 0.05;
/** Until this many samples an agent counts as average, so that one odd task does not rank it. */
const MIN_SAMPLES = 4;
/** A straggler moves the estimate no more than a task that took this multiple of the agent's usual time. */
const MAX_STEP_LOG2 = 1.5;

interface Estimate {
    log2: number;
    samples: number;
}

/**
 * Exponentially weighted average of the logarithm of observed by expected run time, with bounded steps. Ratios are
 * relative to the mean of all agents, because run times divided by them correct the expected run times in turn: without
 * a fixed mean the two estimates drift in opposite directions.
 */
export class RelativeSpeed implements Speed {
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
        const step = Math.min(MAX_STEP_LOG2, Math.max(-MAX_STEP_LOG2, difference));
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
