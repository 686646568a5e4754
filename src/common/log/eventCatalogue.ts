import { CliEvent } from "../../cli/CliEvent.js";
import type { LogEvent } from "./LogEvent.js";
import { WireEvent } from "./WireEvent.js";

/** Events of one role with the range of their numbers. */
interface EventGroup {
    readonly role: string;
    readonly first: number;
    readonly last: number;
    /** Name of the source file without its extension. */
    readonly source: string;
    readonly events: Readonly<Record<string, LogEvent>>;
}

/** Every kind of log line. docs/events.md is generated from it; for documentation and tests only. */
export const eventCatalogue: readonly EventGroup[] = [
    { role: "connections", first: 5000, last: 5999, source: "WireEvent", events: WireEvent },
    { role: "command line", first: 7000, last: 7999, source: "CliEvent", events: CliEvent },
];
