import type { EndpointStatus } from "./EndpointStatus.js";
import type { Resources } from "./Resources.js";
import type { RoutingDocument } from "./RoutingDocument.js";
import type { RunCompletion } from "./RunCompletion.js";

/** Entry to agent: orders runs of tasks of one step of a job. */
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
    /** Renews the entry lease, like the message `tenure`. */
    readonly tenureUntilMs: number;
    /** Incarnation of the endpoint whose clock these times are on, as the agent reported it. */
    readonly incarnation?: string | undefined;
}

/** Entry to agent: stops tasks that the entry ordered. Each is answered by its `ended` report. */
interface Abort {
    readonly kind: "abort";
    readonly tasks: readonly string[];
    readonly reason: string;
}

/**
 * Entry to agent: renews the entry lease (`tenure` on the wire): the runs of the entry may live until this time on the
 * endpoint's clock. Sent several times a second while the entry has tasks at the agent, and less often as a heartbeat
 * otherwise.
 */
interface Tenure {
    readonly kind: "tenure";
    readonly untilMs: number;
    /** Incarnation of the endpoint whose clock this time is on, as the agent reported it. */
    readonly incarnation?: string | undefined;
    /**
     * Number of agents attached to the entry whose endpoints are equivalent to the endpoint of the receiver, including
     * the receiver.
     */
    readonly agents: number;
}

/** Agent to entry: status of its endpoint; sent after changes and several times a second. */
interface Load {
    readonly kind: "load";
    readonly condition: EndpointStatus;
    /** Number of the last order accepted from this entry; its tasks are included in `used`. */
    readonly orders: number;
    /** Whether the entry lease is in force at the agent. */
    readonly tenured: boolean;
}

/** Agent to entry: finished runs (`ended` on the wire). */
interface Ended {
    readonly kind: "ended";
    readonly runs: readonly RunCompletion[];
}

/** Either side: routing document of the sender, when the receiver may have an older one. */
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
