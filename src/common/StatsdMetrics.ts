import { StatsD } from "hot-shots";
import type { Metrics } from "./Metrics.js";

const METRIC_PREFIX = "waxwingshunt.";

/** Interval at which counters are sent. Counts are summed in between, so that a busy process sends few datagrams. */
const FLUSH_INTERVAL_MS = 1000;

/** Sends metrics as StatsD datagrams, through hot-shots. */
export class StatsdMetrics implements Metrics {
    private readonly client: StatsD;
    private readonly counts = new Map<string, number>();
    private readonly timer: NodeJS.Timeout;

    constructor(host: string, port: number, tags: readonly string[]) {
        this.client = new StatsD({
            host,
            port,
            prefix: METRIC_PREFIX,
            globalTags: [...tags],
            errorHandler: () => undefined,
        });
        this.timer = setInterval(() => {
            this.flush();
        }, FLUSH_INTERVAL_MS);
        this.timer.unref();
    }

    public increment(name: string, by = 1): void {
        this.counts.set(name, (this.counts.get(name) ?? 0) + by);
    }

    public gauge(name: string, value: number): void {
        this.client.gauge(name, value);
    }

    public timing(name: string, ms: number): void {
        this.client.timing(name, ms);
    }

    public close(): void {
        clearInterval(this.timer);
        this.flush();
        this.client.close(() => undefined);
    }

    private flush(): void {
        for (const [name, count] of this.counts) {
            this.client.increment(name, count);
        }
        this.counts.clear();
    }
}
