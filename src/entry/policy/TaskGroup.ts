import type { TeamLanes } from "./TeamLanes.js";

/** Queued tasks that may run on the same agents. */
export interface TaskGroup {
    /** Identity of the agent set. */
    readonly key: string;
    readonly agents: ReadonlySet<string>;
    /** One per size class. */
    readonly lanes: readonly TeamLanes[];
    /** Open jobs of the group; it is forgotten with the last one. */
    jobs: number;
}
