import type { TeamLanes } from "./TeamLanes.js";

/** Jobs whose tasks may run on the same set of agents. */
export interface TaskGroup {
    /** Key of the agent set. */
    readonly key: string;
    readonly agents: ReadonlySet<string>;
    /** Queued jobs, one `TeamLanes` per size class. */
    readonly lanes: readonly TeamLanes[];
    /** Number of open jobs of the group; the group is removed after the last one. */
    jobs: number;
}
