import type { QueuedTask } from "./QueuedTask.js";
import { SizeClass } from "./SizeClass.js";
import { sizeClassLimitMs } from "./sizeClassLimitMs.js";
import { sizeClassOf } from "./sizeClassOf.js";
import type { SizeEstimates } from "./SizeEstimates.js";

const UNDECLARED_RUN_MS = 300;
const LEARNING_RATE = 0.05;
const MIN_SAMPLES = 20;
/** The longest observed run time is used as a limit only after this many samples. */
const MIN_SAMPLES_OF_LONGEST = 200;
/** Number of samples that the correction of the wider range of tasks, the prior, counts as. */
const PRIOR_SAMPLES = 5;
/** An observed run time counts as at most this multiple of the expected one, so that stragglers have little weight. */
const MAX_RATIO = 8;
const LONG_P99_DEFAULT_MS = 10_000;
/** Number of histogram bins, a quarter power of two each, from 1 ms to about 18 h. */
const BINS = 104;
const BINS_PER_OCTAVE = 4;
const HALVE_AFTER_SAMPLES = 2000;

interface Correction {
    value: number;
    /** Average of the logarithm of the ratio to base 2. */
    log2: number;
    samples: number;
}

interface Histogram {
    readonly counts: Float64Array;
    total: number;
}

/**
 * Learns one correction factor per team and power of two of the declared size, and one run time per team for undeclared
 * tasks. Factors are per team, because teams tend to declare their sizes wrong in the same way each time. Until a
 * team's factor has enough samples of its own, the factor of all teams for that size is used, and before that the
 * factor of all sizes.
 */
export class LearnedSizeEstimates implements SizeEstimates {
    private readonly corrections = new Map<string, Correction>();
    private readonly overallCorrection: Correction = { value: 1, log2: 0, samples: 0 };
    private readonly histograms: readonly Histogram[] = [0, 1, 2].map(() => ({
        counts: new Float64Array(BINS),
        total: 0,
    }));
    private shortest = Infinity;
    private longest = 0;
    private samples = 0;

    public get shortestObservedMs(): number {
        return this.samples < MIN_SAMPLES ? 0 : this.shortest;
    }

    public expectedMs(task: QueuedTask): number {
        const { declaredMs } = task;
        const prior = declaredMs === undefined ? 1 : this.overallCorrection.value;
        const ofSize = blend(this.corrections.get(sizeKey(task)), "value", prior);
        const corrected = baseMs(task) * blend(this.corrections.get(teamSizeKey(task)), "value", ofSize);
        return Math.max(1, Math.min(corrected, this.maxExpectedMs()));
    }

    public typicalMs(task: QueuedTask): number {
        const prior = task.declaredMs === undefined ? 0 : this.overallCorrection.log2;
        const ofSize = blend(this.corrections.get(sizeKey(task)), "log2", prior);
        return Math.max(1, baseMs(task) * 2 ** blend(this.corrections.get(teamSizeKey(task)), "log2", ofSize));
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
        const ratio = bounded / baseMs(task);
        this.samples += 1;
        this.shortest = Math.min(this.shortest, runMs);
        this.longest = Math.max(this.longest, runMs);
        this.record(sizeClassOf(expected), runMs);
        learn(this.correctionOf(sizeKey(task)), ratio);
        learn(this.correctionOf(teamSizeKey(task)), ratio);
        if (declaredMs !== undefined) {
            learn(this.overallCorrection, ratio);
        }
    }

    /**
     * Limit of expected run times. A longer one is more likely a wrong declaration, and one such task would get its job
     * refused.
     */
    private maxExpectedMs(): number {
        return this.samples < MIN_SAMPLES_OF_LONGEST ? Infinity : this.longest;
    }

    private correctionOf(bucket: string): Correction {
        let correction = this.corrections.get(bucket);
        if (correction === undefined) {
            correction = { value: 1, log2: 0, samples: 0 };
            this.corrections.set(bucket, correction);
        }
        return correction;
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

function sizeKey({ declaredMs }: QueuedTask): string {
    return declaredMs === undefined ? "undeclared" : String(Math.round(Math.log2(Math.max(1, declaredMs))));
}

function teamSizeKey(task: QueuedTask): string {
    return `${sizeKey(task)}/${task.team}`;
}

/**
 * Weighs the correction against the prior by its number of samples, so that rare sizes and new teams are corrected too.
 */
function blend(correction: Correction | undefined, kind: "value" | "log2", prior: number): number {
    if (correction === undefined) {
        return prior;
    }
    return (correction[kind] * correction.samples + prior * PRIOR_SAMPLES) / (correction.samples + PRIOR_SAMPLES);
}

function baseMs({ declaredMs }: QueuedTask): number {
    return Math.max(1, declaredMs ?? UNDECLARED_RUN_MS);
}

/** Moves the averages towards the value. The first samples have equal weight, so that learning starts fast. */
function learn(correction: Correction, value: number): void {
    correction.samples += 1;
    const rate = Math.max(LEARNING_RATE, 1 / correction.samples);
    correction.value += (value - correction.value) * rate;
    correction.log2 += (Math.log2(value) - correction.log2) * rate;
}
