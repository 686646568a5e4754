import type { AgentEntry } from "./AgentEntry.js";
import type { SizeClass } from "./SizeClass.js";

/** Chooses where a task runs, and whether its class may take another slot at all. */
export interface Placement {
    /** Whether a task of the class may start when `running` counts running tasks by class and `slots` is the total. */
    allows(sizeClass: SizeClass, running: readonly number[], slots: number, reservedShare: number): boolean;
    /** Picks one of the candidates, avoiding the agent of the last attempt where another is free. */
    pick(candidates: readonly AgentEntry[], avoid: string | undefined): AgentEntry | undefined;
    /** Notes a change of the number of running tasks of an agent. */
    occupied(agent: AgentEntry, delta: number): void;
}
