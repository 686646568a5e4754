import type { TaskState } from "./TaskState.js";

/** State that an entry keeps of one task of an open job. */
export interface LeasedTask {
    /** Name in messages to agents and calls to endpoints: job, occurrence, step and index. */
    readonly name: string;
    readonly step: number;
    state: TaskState;
    /** Number of the next run. */
    nextRun: number;
    /** Number of runs that have failed. */
    failures: number;
    /** Agent that the task was sent to; undefined unless the state is `placed`. */
    agent: string | undefined;
    placedAt: number;
    /** Agents that have failed or refused the task; it is not sent to them again. */
    readonly excludedAgents: Set<string>;
}
