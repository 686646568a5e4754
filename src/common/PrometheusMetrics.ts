import type { Metrics } from "./Metrics.js";

const PREFIX = "waxwingshunt_";

/** Upper bounds of the histogram's buckets in milliseconds. */
const BUCKETS_MS = [1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000] as const;

interface Histogram {
    readonly counts: number[];
    count: number;
    sum: number;
}

/**
 * Keeps metrics in memory and renders them in the Prometheus text format: counters, gauges, and histograms of timings
 * in milliseconds.
 */
export class PrometheusMetrics implements Metrics {
    private readonly counters = new Map<string, number>();
    private readonly gauges = new Map<string, number>();
    private readonly histograms = new Map<string, Histogram>();

    public increment(name: string, by = 1): void {
        this.counters.set(name, (this.counters.get(name) ?? 0) + by);
    }

    public gauge(name: string, value: number): void {
        this.gauges.set(name, value);
    }

    public timing(name: string, ms: number): void {
        const histogram = this.histograms.get(name) ?? { counts: BUCKETS_MS.map(() => 0), count: 0, sum: 0 };
        this.histograms.set(name, histogram);
        const bucket = BUCKETS_MS.findIndex(bound => ms <= bound);
        if (bucket >= 0) {
            histogram.counts[bucket] = (histogram.counts[bucket] ?? 0) + 1;
        }
        histogram.count += 1;
        histogram.sum += ms;
    }

    public close(): void {
        // Nothing is buffered.
    }

    /** Renders all metrics in the Prometheus text format, one value per line. */
    public render(): string {
        const counters = [...this.counters].map(([name, value]) => `${toName(name)}_total ${value}`);
        const gauges = [...this.gauges].map(([name, value]) => `${toName(name)} ${value}`);
        const histograms = [...this.histograms].flatMap(([name, histogram]) =>
            renderHistogram(toName(name), histogram)
        );
        return [...counters, ...gauges, ...histograms, ""].join("\n");
    }
}

function renderHistogram(name: string, { counts, count, sum }: Histogram): readonly string[] {
    let cumulative = 0;
    const lines = BUCKETS_MS.map((bound, index) => {
        cumulative += counts[index] ?? 0;
        return `${name}_bucket{le="${bound}"} ${cumulative}`;
    });
    return [...lines, `${name}_bucket{le="+Inf"} ${count}`, `${name}_count ${count}`, `${name}_sum ${sum}`];
}

function toName(name: string): string {
    return PREFIX + name.replace(/\W/g, "_");
}
