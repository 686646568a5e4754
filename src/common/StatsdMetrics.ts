import { StatsD } from "hot-shots";
import type { Metrics } from "./Metrics.js";

const METRIC_PREFIX = "waxwingshunt.";

/** Metrics sent as StatsD datagrams by hot-shots. */
export class StatsdMetrics implements Metrics {
    private readonly client: StatsD;

    constructor(host: string, port: number, tags: readonly string[]) {
        this.client = new StatsD({
            host,
            port,
            prefix: METRIC_PREFIX,
            globalTags: [...tags],
            errorHandler: () => undefined,
        });
    }

    public increment(name: string, by = 1): void {
        this.client.increment(name, by);
    }

    public gauge(name: string, value: number): void {
        this.client.gauge(name, value);
    }

    public timing(name: string, ms: number): void {
        this.client.timing(name, ms);
    }

    public close(): void {
        this.client.close(() => undefined);
    }
}
