import { build } from "hdr-histogram-js";
import type { Distribution } from "./Distribution.js";

/** Histogram resolution: values are recorded in microseconds with three significant digits. */
const MICROSECONDS_PER_MS = 1000;
const SIGNIFICANT_DIGITS = 3;

/** Summarizes times in milliseconds with an HDR histogram; negative values count as 0. */
export function summarize(values: readonly number[]): Distribution {
    const histogram = build({ bitBucketSize: 64, numberOfSignificantValueDigits: SIGNIFICANT_DIGITS });
    for (const value of values) {
        histogram.recordValue(Math.max(0, Math.round(value * MICROSECONDS_PER_MS)));
    }
    const sum = values.reduce((total, value) => total + Math.max(0, value), 0);
    return {
        count: values.length,
        mean: values.length === 0 ? 0 : sum / values.length,
        p50: histogram.getValueAtPercentile(50) / MICROSECONDS_PER_MS,
        p99: histogram.getValueAtPercentile(99) / MICROSECONDS_PER_MS,
        max: histogram.maxValue / MICROSECONDS_PER_MS,
    };
}
