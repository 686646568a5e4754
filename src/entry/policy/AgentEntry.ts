import type { AgentProfile } from "./AgentProfile.js";

/** Mutable state that the scheduler keeps of one agent. */
export interface AgentEntry {
    readonly profile: AgentProfile;
    /** Credits for starts that are not in use. */
    credits: number;
    running: number;
    draining: boolean;
    /** Starts that the agent has refused for reasons unrelated to the task, since its last successful task. */
    refusals: number;
    /** The agent gets no start before this time, because it has just refused one. */
    backoffUntil: number;
}
