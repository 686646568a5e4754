import type { Metrics } from "./Metrics.js";

/** Discards all metrics; for tests and for processes without a metrics address. */
export class NoMetrics implements Metrics {
    public increment(): void {
        // Nothing to send.
    }

    public gauge(): void {
        // Nothing to send.
    }

    public timing(): void {
        // Nothing to send.
    }

    public close(): void {
        // Nothing to release.
    }
}
