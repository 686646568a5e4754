import { CountingLog } from "../common/log/CountingLog.js";
import type { LogFields } from "../common/log/LogFields.js";
import { RoarrLog } from "../common/log/RoarrLog.js";
import type { Metrics } from "../common/Metrics.js";
import { NoMetrics } from "../common/NoMetrics.js";
import type { Runtime } from "../common/Runtime.js";
import { SystemClock } from "../common/SystemClock.js";
import { SystemRandom } from "../common/SystemRandom.js";

/** Address of a StatsD server. */
interface MetricsAddress {
    readonly host: string;
    readonly port: number;
}

/** Creates clock, random source, log and metrics of a process; the StatsD client is loaded only when it is used. */
export async function createRuntime(fields: LogFields, metrics: MetricsAddress | undefined): Promise<Runtime> {
    const sink = await createMetrics(fields, metrics);
    return {
        clock: new SystemClock(),
        random: new SystemRandom(),
        log: new CountingLog(RoarrLog.create(fields), sink),
        metrics: sink,
    };
}

async function createMetrics(fields: LogFields, address: MetricsAddress | undefined): Promise<Metrics> {
    if (address === undefined) {
        return new NoMetrics();
    }
    const { StatsdMetrics } = await import("../common/StatsdMetrics.js");
    const tags = Object.entries(fields).map(([name, value]) => `${name}:${String(value)}`);
    return new StatsdMetrics(address.host, address.port, tags);
}
