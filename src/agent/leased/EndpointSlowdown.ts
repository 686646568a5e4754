import type { Clock } from "../../common/Clock.js";
import { EndpointStallDetector } from "./EndpointStallDetector.js";
import type { OrderedRun } from "./OrderedRun.js";
import { SlowdownEstimate } from "./SlowdownEstimate.js";

/** Slowdown factor of the endpoint, from finished runs and from the elapsed times of unfinished ones. */
export class EndpointSlowdown {
    private readonly estimate = new SlowdownEstimate();
    private readonly stalls: EndpointStallDetector;

    constructor(clock: Clock) {
        this.stalls = new EndpointStallDetector(clock);
    }

    /** Current ratio of observed to declared run time; `runs` are those that have not finished. */
    public factorOf(runs: readonly OrderedRun[]): number {
        return Math.max(this.estimate.value, this.stalls.slowdownOf(runs));
    }

    /** Those of `runs` that are better started at another endpoint. */
    public findOverdue(runs: readonly OrderedRun[]): readonly OrderedRun[] {
        return this.stalls.findOverdue(runs, this.estimate.value);
    }

    /** Handles a run that has ended with the result `done` after `ranMs`. */
    public observeDone(run: OrderedRun, ranMs: number): void {
        this.stalls.observeDone(run, this.estimate.value);
        this.estimate.observe(ranMs, run.estimateMs);
    }

    /** Discards what was observed of an earlier incarnation. */
    public reset(): void {
        this.estimate.reset();
        this.stalls.reset();
    }
}
