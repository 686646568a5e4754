/** Returns the percentile of the values, `share` being 0 to 1; NaN if there are none. */
export function percentile(values: readonly number[], share: number): number {
    const sorted = [...values].sort((a, b) => a - b);
    return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? NaN;
}
