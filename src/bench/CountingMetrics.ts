import type { Metrics } from "../common/Metrics.js";

/** In-memory metrics for load runs and tests. */
export class CountingMetrics implements Metrics {
    private readonly counters = new Map<string, number>();

    public increment(name: string, by = 1): void {
        this.counters.set(name, (this.counters.get(name) ?? 0) + by);
    }

    public gauge(name: string, value: number): void {
        this.counters.set(name, value);
    }

    public timing(): void {
        // Load runs measure times at the callers.
    }

    public close(): void {
        // Nothing to release.
    }

    /** Returns all counters whose name starts with `prefix`, without the prefix. */
    public withPrefix(prefix: string): ReadonlyMap<string, number> {
        const matching = [...this.counters].filter(([name]) => name.startsWith(prefix));
        return new Map(matching.map(([name, value]) => [name.slice(prefix.length), value]));
    }

    public reset(): void {
        this.counters.clear();
    }
}
