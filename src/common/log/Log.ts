import type { LogEvent } from "./LogEvent.js";
import type { LogFields } from "./LogFields.js";

/** Structured log. One call writes one line. */
export interface Log {
    write(event: LogEvent, fields?: LogFields): void;
    /** Returns a log that adds `fields` to every line. */
    child(fields: LogFields): Log;
}
