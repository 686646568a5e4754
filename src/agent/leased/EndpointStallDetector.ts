import type { Clock } from "../../common/Clock.js";
import type { OrderedRun } from "./OrderedRun.js";

/** Minimum number of runs whose elapsed times say something about the endpoint. */
const MIN_RUNS = 4;

/**
 * Expected total run time of an unfinished run, as a multiple of its elapsed time; half of the runs are about half
 * done.
 */
const EXPECTED_TOTAL_FACTOR = 1.3;

/**
 * Multiple of its declared run time, at the endpoint's usual slowdown factor, beyond which a run at a stalled endpoint
 * is stopped.
 */
const STALLED_FACTOR = 3;

/** Slowdown factor reported for a stalled endpoint: no job can meet its latency target there. */
const STALLED_SLOWDOWN = 6;

/** Time after which a stalled endpoint without runs counts as healthy again, so that it is tried. */
const RETRY_MS = 1500;

/**
 * Detects from the elapsed times of unfinished runs that their endpoint has become slow or has stalled; finished runs
 * alone show it only after the slow runs have ended. A few long runs are usual, so the median counts. At an endpoint
 * that is known to be stalled each run counts by itself, until one ends within its usual time.
 */
export class EndpointStallDetector {
    private stalledUntil = Number.NEGATIVE_INFINITY;

    constructor(private readonly clock: Clock) {}

    /** Lower bound of the endpoint's current slowdown factor; 0 when there are too few runs. */
    public slowdownOf(runs: readonly OrderedRun[]): number {
        const ratios = runs.map(run => this.ratioOf(run)).filter(ratio => ratio !== undefined).sort((a, b) => a - b);
        const median = ratios.length < MIN_RUNS ? 0 : ratios[ratios.length >> 1] ?? 0;
        return Math.max(EXPECTED_TOTAL_FACTOR * median, this.isStalled ? STALLED_SLOWDOWN : 0);
    }

    /**
     * Runs that are better started at another endpoint; `usualSlowdown` is the slowdown factor that finished runs have
     * shown.
     */
    public findOverdue(runs: readonly OrderedRun[], usualSlowdown: number): readonly OrderedRun[] {
        if (this.slowdownOf(runs) < EXPECTED_TOTAL_FACTOR * STALLED_FACTOR * usualSlowdown) {
            return [];
        }
        const overdue = runs.filter(run => (this.ratioOf(run) ?? 0) > STALLED_FACTOR * usualSlowdown);
        if (overdue.length > 0) {
            this.stalledUntil = this.clock.now() + RETRY_MS;
        }
        return overdue;
    }

    /** Handles a run that has ended with the result `done`. */
    public observeDone(run: OrderedRun, usualSlowdown: number): void {
        if ((this.ratioOf(run) ?? 0) < STALLED_FACTOR * usualSlowdown) {
            this.reset();
        }
    }

    /** Discards what was observed of an earlier incarnation. */
    public reset(): void {
        this.stalledUntil = Number.NEGATIVE_INFINITY;
    }

    private get isStalled(): boolean {
        return this.clock.now() < this.stalledUntil;
    }

    private ratioOf(run: OrderedRun): number | undefined {
        if (run.startedAt === undefined) {
            return undefined;
        }
        return (this.clock.now() - run.startedAt) / Math.max(1, run.estimateMs);
    }
}
