/** Returns the value that the given share of the values do not exceed; NaN for no values. */
export function percentile(values: readonly number[], share: number): number {
    const sorted = [...values].sort((a, b) => a - b);
    return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? NaN;
}
