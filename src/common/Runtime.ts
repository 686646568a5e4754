import type { Clock } from "./Clock.js";
import type { Log } from "./log/Log.js";
import type { Metrics } from "./Metrics.js";
import type { Random } from "./Random.js";

/** Services that every role receives at its start. */
export interface Runtime {
    readonly clock: Clock;
    readonly log: Log;
    readonly metrics: Metrics;
    readonly random: Random;
}
