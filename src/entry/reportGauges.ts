import type { Clock } from "../common/Clock.js";
import type { Metrics } from "../common/Metrics.js";

const INTERVAL_MS = 10_000;

interface GaugeSources {
    readonly openJobs: () => number;
    readonly services: () => readonly string[];
    readonly queued: (service: string) => number;
    readonly agents: () => Readonly<Record<string, number>>;
}

/** Reports the gauges of an entry now and every 10 s: `jobs.open`, `tasks.queued.<service>`, `agents.<service>`. */
export function reportGauges(clock: Clock, metrics: Metrics, sources: GaugeSources): void {
    metrics.gauge("jobs.open", sources.openJobs());
    const agents = sources.agents();
    for (const service of sources.services()) {
        metrics.gauge(`tasks.queued.${service}`, sources.queued(service));
        metrics.gauge(`agents.${service}`, agents[service] ?? 0);
    }
    clock.schedule(INTERVAL_MS, () => {
        reportGauges(clock, metrics, sources);
    });
}
