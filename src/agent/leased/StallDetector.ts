import type { OrderedRun } from "./OrderedRun.js";

/** Runs that must be there for their elapsed times to say something of the endpoint. */
const MIN_RUNS = 4;

/** Run time expected of a run that has passed a given time, as a multiple; half of the runs are about half way. */
const REMAINING_FACTOR = 1.3;

/** Multiple of its declared time, at the endpoint's learnt slowness, beyond which a run at a stalled endpoint is given up. */
const STALLED_FACTOR = 3;

/**
 * Tells from the runs that have not ended whether their endpoint has become slow or stands still. Ends alone say so only
 * after the slow runs have ended. A few long runs are usual, so the median counts.
 */
export class StallDetector {
    /** Lower bound of the endpoint's present slowness; 0 when too little runs. */
    public slownessOf(runs: readonly OrderedRun[], now: number): number {
        const ratios = runs.map(run => ratioOf(run, now)).filter(ratio => ratio !== undefined).sort((a, b) => a - b);
        return ratios.length < MIN_RUNS ? 0 : REMAINING_FACTOR * (ratios[ratios.length >> 1] ?? 0);
    }

    /** Runs that are better started elsewhere; `learnt` is the slowness that ended runs have shown. */
    public stalled(runs: readonly OrderedRun[], learnt: number, now: number): readonly OrderedRun[] {
        if (this.slownessOf(runs, now) < REMAINING_FACTOR * STALLED_FACTOR * learnt) {
            return [];
        }
        return runs.filter(run => (ratioOf(run, now) ?? 0) > STALLED_FACTOR * learnt);
    }
}

function ratioOf(run: OrderedRun, now: number): number | undefined {
    return run.startedAt === undefined ? undefined : (now - run.startedAt) / Math.max(1, run.estimateMs);
}
