import type { RunResult } from "./RunResult.js";

/** Report of an agent that a run has ended. */
export interface RunCompletion {
    /** Name of the task. */
    readonly task: string;
    /** Number of the last run that the agent ordered from the endpoint. */
    readonly run: number;
    readonly result: RunResult;
    /** Time from the start order to the end, in milliseconds. */
    readonly ranMs: number;
    readonly reason: string;
}
