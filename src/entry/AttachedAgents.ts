import type { AttachedAgent } from "./AttachedAgent.js";

/** Agents attached to this entry now. */
export interface AttachedAgents {
    attached(): readonly AttachedAgent[];
}
