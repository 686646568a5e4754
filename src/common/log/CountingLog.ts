import type { Metrics } from "../Metrics.js";
import type { Log } from "./Log.js";
import type { LogEvent } from "./LogEvent.js";
import type { LogFields } from "./LogFields.js";

/**
 * Log that also counts its lines in the metrics `events.<number>`, and `events.<number>.<code>` for a line with a fault
 * code. Every decision is logged, so these are the counters of jobs, starts, retries, refusals and store errors.
 */
export class CountingLog implements Log {
    constructor(private readonly log: Log, private readonly metrics: Metrics) {}

    public write(event: LogEvent, fields: LogFields = {}): void {
        const code = fields["code"];
        this.metrics.increment(`events.${event.number}`);
        if (typeof code === "string") {
            this.metrics.increment(`events.${event.number}.${code}`);
        }
        this.log.write(event, fields);
    }

    public child(fields: LogFields): Log {
        return new CountingLog(this.log.child(fields), this.metrics);
    }
}
