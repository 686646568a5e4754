import type { Clock } from "../../common/Clock.js";
import type { OrderedRun } from "./OrderedRun.js";

/** Runs that must be there for their elapsed times to say something of the endpoint. */
const MIN_RUNS = 4;

/** Run time expected of a run that has passed a given time, as a multiple; half of the runs are about half way. */
const REMAINING_FACTOR = 1.3;

/** Multiple of its declared time, at the endpoint's learnt slowness, beyond which a run at a stalled endpoint is given up. */
const STALLED_FACTOR = 3;

/** Slowness of a stalled endpoint as told to entries: no job can meet its target there. */
const STALLED_SLOWNESS = 6;

/** Time after which an endpoint without a run counts as sound again, so that it is tried. */
const RETRY_MS = 1500;

/**
 * Tells from the runs that have not ended whether their endpoint has become slow or stands still. Ends alone say so only
 * after the slow runs have ended. A few long runs are usual, so the median counts; at an endpoint that is known to be
 * stalled each run counts by itself, until one ends in its usual time.
 */
export class StallDetector {
    private stalledUntil = Number.NEGATIVE_INFINITY;

    constructor(private readonly clock: Clock) {}

    /** Lower bound of the endpoint's present slowness; 0 when too little runs. */
    public slownessOf(runs: readonly OrderedRun[]): number {
        const ratios = runs.map(run => this.ratioOf(run)).filter(ratio => ratio !== undefined).sort((a, b) => a - b);
        const median = ratios.length < MIN_RUNS ? 0 : ratios[ratios.length >> 1] ?? 0;
        return Math.max(REMAINING_FACTOR * median, this.isStalled ? STALLED_SLOWNESS : 0);
    }

    /** Runs that are better started elsewhere; `learnt` is the slowness that ended runs have shown. */
    public stalled(runs: readonly OrderedRun[], learnt: number): readonly OrderedRun[] {
        if (this.slownessOf(runs) < REMAINING_FACTOR * STALLED_FACTOR * learnt) {
            return [];
        }
        const overdue = runs.filter(run => (this.ratioOf(run) ?? 0) > STALLED_FACTOR * learnt);
        if (overdue.length > 0) {
            this.stalledUntil = this.clock.now() + RETRY_MS;
        }
        return overdue;
    }

    /** Takes a run that has ended as done. */
    public ended(run: OrderedRun, learnt: number): void {
        if ((this.ratioOf(run) ?? 0) < STALLED_FACTOR * learnt) {
            this.reset();
        }
    }

    /** Forgets what was seen of an earlier life. */
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
