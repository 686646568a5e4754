import type { LogLevel } from "./LogLevel.js";

/** Kind of log line. The number is unique and never reused; docs/events.md lists all events. */
export interface LogEvent {
    readonly number: number;
    readonly level: LogLevel;
    readonly text: string;
}
