import type { QueuedTask } from "./QueuedTask.js";
import { SizeClass } from "./SizeClass.js";
import { sizeClassLimitMs } from "./sizeClassLimitMs.js";
import { sizeClassOf } from "./sizeClassOf.js";
import type { Sizes } from "./Sizes.js";

const DEFAULT_RUN_MS = 300;
const LEARNING_RATE = 0.05;
const MIN_SAMPLES = 20;
/** The longest run time is known after this many samples. */
const SAMPLES_OF_LONGEST = 200;
/** Samples that the correction known for a wider range of tasks counts as. */
const PRIOR_SAMPLES = 5;
/** A straggler counts as at most this multiple of the expected time. */
const MAX_RATIO = 8;
const LONG_P99_DEFAULT_MS = 10_000;
/** Quarter powers of two from 1 ms to about 18 h. */
const BINS = 104;
const BINS_PER_OCTAVE = 4;
const HALVE_AFTER_SAMPLES = 2000;

interface Average {
    value: number;
    /** Average of the logarithm to base 2. */
    log2: number;
    samples: number;
}

interface Histogram {
    readonly counts: Float64Array;
    total: number;
}

/**
 * Learns one correction factor per team and power of two of the declared size, and one run time of undeclared tasks per
 * team, because what is wrong with the sizes is a habit of who declares them. Until a team's factor has samples of its
 * own, the factor of all teams for that size stands in, and before that the factor of all sizes.
 */
export class LearntSizes implements Sizes {
    private readonly averages = new Map<string, Average>();
    private readonly overall: Average = { value: 1, log2: 0, samples: 0 };
    private readonly histograms: readonly Histogram[] = [0, 1, 2].map(() => ({
        counts: new Float64Array(BINS),
        total: 0,
    }));
    private shortest = Infinity;
    private longest = 0;
    private samples = 0;

    public get shortestMs(): number {
        return this.samples < MIN_SAMPLES ? 0 : this.shortest;
    }

    public expectedMs(task: QueuedTask): number {
        const { declaredMs } = task;
        const prior = declaredMs === undefined ? 1 : this.overall.value;
        const ofService = blend(this.averages.get(sizeOf(task)), "value", prior);
        const corrected = baseOf(task) * blend(this.averages.get(bucketOf(task)), "value", ofService);
        return Math.max(1, Math.min(corrected, this.longestMs()));
    }

    public typicalMs(task: QueuedTask): number {
        const prior = task.declaredMs === undefined ? 0 : this.overall.log2;
        const ofService = blend(this.averages.get(sizeOf(task)), "log2", prior);
        return Math.max(1, baseOf(task) * 2 ** blend(this.averages.get(bucketOf(task)), "log2", ofService));
    }

    public p99Ms(sizeClass: SizeClass): number {
        const histogram = this.histograms[sizeClass];
        if (histogram === undefined || histogram.total < MIN_SAMPLES * 5) {
            return sizeClass === SizeClass.Long ? LONG_P99_DEFAULT_MS : sizeClassLimitMs(sizeClass);
        }
        let above = histogram.total / 100;
        let bin = BINS - 1;
        while (bin > 0 && above >= (histogram.counts[bin] ?? 0)) {
            above -= histogram.counts[bin] ?? 0;
            bin -= 1;
        }
        return 2 ** ((bin + 1) / BINS_PER_OCTAVE);
    }

    public observe(task: QueuedTask, runMs: number): void {
        const { declaredMs } = task;
        const expected = this.expectedMs(task);
        const bounded = Math.min(Math.max(1, runMs), expected * MAX_RATIO);
        const ratio = bounded / baseOf(task);
        this.samples += 1;
        this.shortest = Math.min(this.shortest, runMs);
        this.longest = Math.max(this.longest, runMs);
        this.record(sizeClassOf(expected), runMs);
        learn(this.average(sizeOf(task)), ratio);
        learn(this.average(bucketOf(task)), ratio);
        if (declaredMs !== undefined) {
            learn(this.overall, ratio);
        }
    }

    /** A size beyond all that has run is more likely a wrong declaration, and one such task would refuse its job. */
    private longestMs(): number {
        return this.samples < SAMPLES_OF_LONGEST ? Infinity : this.longest;
    }

    private average(bucket: string): Average {
        let average = this.averages.get(bucket);
        if (average === undefined) {
            average = { value: 1, log2: 0, samples: 0 };
            this.averages.set(bucket, average);
        }
        return average;
    }

    private record(sizeClass: SizeClass, runMs: number): void {
        const histogram = this.histograms[sizeClass];
        if (histogram === undefined) {
            return;
        }
        const bin = Math.min(BINS - 1, Math.max(0, Math.floor(Math.log2(Math.max(1, runMs)) * BINS_PER_OCTAVE)));
        histogram.counts[bin] = (histogram.counts[bin] ?? 0) + 1;
        histogram.total += 1;
        if (histogram.total >= HALVE_AFTER_SAMPLES) {
            histogram.counts.forEach((count, index) => {
                histogram.counts[index] = count / 2;
            });
            histogram.total /= 2;
        }
    }
}

function sizeOf({ declaredMs }: QueuedTask): string {
    return declaredMs === undefined ? "undeclared" : String(Math.round(Math.log2(Math.max(1, declaredMs))));
}

function bucketOf(task: QueuedTask): string {
    return `${sizeOf(task)}/${task.team}`;
}

/** Weighs the average against the prior by its samples, so that rare sizes and new teams are corrected too. */
function blend(average: Average | undefined, kind: "value" | "log2", prior: number): number {
    if (average === undefined) {
        return prior;
    }
    return (average[kind] * average.samples + prior * PRIOR_SAMPLES) / (average.samples + PRIOR_SAMPLES);
}

function baseOf({ declaredMs }: QueuedTask): number {
    return Math.max(1, declaredMs ?? DEFAULT_RUN_MS);
}

/** Moves the average towards the value; the first samples count equally, so that learning starts fast. */
function learn(average: Average, value: number): void {
    average.samples += 1;
    const rate = Math.max(LEARNING_RATE, 1 / average.samples);
    average.value += (value - average.value) * rate;
    average.log2 += (Math.log2(value) - average.log2) * rate;
}
