import { AgentEvent } from "../../agent/AgentEvent.js";
import { LeaseEvent } from "../../agent/leased/LeaseEvent.js";
import { CliEvent } from "../../cli/CliEvent.js";
import { EndpointEvent } from "../../endpoint/EndpointEvent.js";
import { ClusterEvent } from "../../entry/ClusterEvent.js";
import { EntryEvent } from "../../entry/EntryEvent.js";
import { EntryLeaseEvent } from "../../entry/leased/EntryLeaseEvent.js";
import { PlatformEvent } from "../../platform/PlatformEvent.js";
import { NodeEvent } from "../leased/NodeEvent.js";
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

/** All log events. docs/events.md is generated from this list; it is used only for documentation and tests. */
export const eventCatalogue: readonly EventGroup[] = [
    { role: "entry", first: 1000, last: 1999, source: "EntryEvent", events: EntryEvent },
    { role: "agent", first: 2000, last: 2999, source: "AgentEvent", events: AgentEvent },
    { role: "platform stub", first: 3000, last: 3999, source: "PlatformEvent", events: PlatformEvent },
    { role: "endpoint stub", first: 4000, last: 4999, source: "EndpointEvent", events: EndpointEvent },
    { role: "connections", first: 5000, last: 5999, source: "WireEvent", events: WireEvent },
    { role: "entry: members and configuration", first: 6000, last: 6999, source: "ClusterEvent", events: ClusterEvent },
    { role: "command line", first: 7000, last: 7999, source: "CliEvent", events: CliEvent },
    { role: "agent with leases", first: 8000, last: 8499, source: "LeaseEvent", events: LeaseEvent },
    { role: "entry with leases", first: 8500, last: 8999, source: "EntryLeaseEvent", events: EntryLeaseEvent },
    { role: "platform adapter", first: 9000, last: 9499, source: "NodeEvent", events: NodeEvent },
];
