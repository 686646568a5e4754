import type { TaskState } from "./TaskState.js";

/** Task of a job at its entry. */
export interface LeasedTask {
    /** Name in calls to endpoints: job, occurrence, step and index. */
    readonly name: string;
    readonly step: number;
    state: TaskState;
    /** Number of the next run. */
    run: number;
    /** Runs that have ended as failed. */
    failures: number;
    /** Agent that has the task while it is placed. */
    agent: string | undefined;
    placedAt: number;
    /** Agents that failed or refused the task. */
    readonly avoided: Set<string>;
}
