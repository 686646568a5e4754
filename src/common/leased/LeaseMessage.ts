import type { EndpointStatus } from "./EndpointStatus.js";
import type { Resources } from "./Resources.js";
import type { RoutingDocument } from "./RoutingDocument.js";
import type { RunCompletion } from "./RunCompletion.js";

/** Entry to agent: runs tasks of one step of a job. */
interface Run {
    readonly kind: "run";
    /** Number of the order on this connection, from 1. */
    readonly order: number;
    /** Job id, for logs. */
    readonly job: string;
    readonly spec: string;
    readonly tasks: readonly { readonly name: string; readonly run: number; }[];
    readonly need: Resources;
    readonly estimateMs: number;
    /** Time on the endpoint's clock until which a start may take effect. */
    readonly startBeforeMs: number;
    /** Renews the entry's tenure, like the message `tenure`. */
    readonly tenureUntilMs: number;
}

/** Entry to agent: stops tasks that the entry ordered; each is answered by its end. */
interface Abort {
    readonly kind: "abort";
    readonly tasks: readonly string[];
    readonly reason: string;
}

/**
 * Entry to agent: the entry's runs may live until this time on the endpoint's clock. Sent several times a second while the
 * entry has tasks there, and more rarely as a sign of life.
 */
interface Tenure {
    readonly kind: "tenure";
    readonly untilMs: number;
    /** Number of agents that are attached to the entry and whose endpoints are like the receiver's, itself included. */
    readonly agents: number;
}

/** Agent to entry: condition of its endpoint; sent after changes and several times a second. */
interface Load {
    readonly kind: "load";
    readonly condition: EndpointStatus;
    /** Number of the last order taken from this entry; its tasks are part of `used`. */
    readonly orders: number;
    /** Whether the entry's tenure is in force here. */
    readonly tenured: boolean;
}

/** Agent to entry: runs that are over. */
interface Ended {
    readonly kind: "ended";
    readonly runs: readonly RunCompletion[];
}

/** Either way: the sender's routing document, when the receiver may have an older one. */
interface Routes {
    readonly kind: "routes";
    readonly document: RoutingDocument;
}

/** Entry to agent: addresses of entries that the sender knows. */
interface Entries {
    readonly kind: "entries";
    readonly addresses: readonly string[];
}

/** Messages between entries and agents that run tasks under leases. */
export type LeaseMessage = Run | Abort | Tenure | Load | Ended | Routes | Entries;
