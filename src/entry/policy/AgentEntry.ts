import type { AgentProfile } from "./AgentProfile.js";

/** Mutable state of one agent at the scheduler. */
export interface AgentEntry {
    readonly profile: AgentProfile;
    /** Unused credits; may be below zero while released credits are still used by running tasks. */
    credits: number;
    running: number;
    draining: boolean;
    /** Refusals for reasons of its own since its last accepted start. */
    refusals: number;
    /** No start before this time, because the agent has just refused one. */
    restsUntil: number;
}
