import type { AgentEntry } from "./AgentEntry.js";
import type { SizeClass } from "./SizeClass.js";

/** Chooses the agent for a task, and decides whether a size class may use another slot at all. */
export interface Placement {
    /** Whether a task of the size class may start; `running` counts the running tasks by class, `slots` all slots. */
    allowsClass(sizeClass: SizeClass, running: readonly number[], slots: number, reservedShare: number): boolean;
    /** Picks one of the candidates; `avoid`, the agent of the last attempt, only if there is no other. */
    pick(candidates: readonly AgentEntry[], avoid: string | undefined): AgentEntry | undefined;
    /** Records that the number of running tasks of an agent has changed by `delta`. */
    addRunning(agent: AgentEntry, delta: number): void;
}
