import type { AgentAddress } from "../wire/AgentAddress.js";

/**
 * Authorization to submit one job. Only the issuing incarnation may start its tasks, and only on agents of `agents`.
 * Callers treat the encoded form as an opaque string.
 */
export interface Ticket {
    /** Incarnation of the issuing entry. */
    readonly issuer: string;
    /** `ip:port` of the issuing entry. */
    readonly address: string;
    /** Unique within the issuer, from 1. */
    readonly sequence: number;
    readonly service: string;
    readonly team: string;
    /** Agents that may run tasks of the ticket; at most 64. */
    readonly agents: readonly AgentAddress[];
}
