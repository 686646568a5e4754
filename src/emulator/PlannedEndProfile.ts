import type { TimeRange } from "./TimeRange.js";

/** Endpoints, agents and entries that end as planned, and start again. */
export interface PlannedEndProfile {
    /** Share of the submission steps after which one begins. */
    readonly share: number;
    /** Time from the heartbeat with which an endpoint drains to its deregistration. */
    readonly drain: TimeRange;
    /** Share of the deregistrations whose acknowledgement is lost. */
    readonly lostAckShare: number;
    /** Time that an endpoint goes on after a deregistration, with and without an acknowledgement. */
    readonly acknowledgedEnd: TimeRange;
    readonly unacknowledgedEnd: TimeRange;
    /** Time from the end of an endpoint to the start of the next one at its address. */
    readonly endpointDowntime: TimeRange;
    /** Time from the end of an agent or entry process to the start of the next one. */
    readonly processDowntime: TimeRange;
    /** Number of agents that are stopped one after the other, and the time between two of them. */
    readonly agentsInSeries: number;
    readonly agentSpacing: TimeRange;
    /** Time that an agent gets for its runs to end before its process ends. */
    readonly agentGrace: TimeRange;
}
