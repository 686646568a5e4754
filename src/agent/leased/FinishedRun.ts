import type { RunResult } from "../../common/leased/RunResult.js";

/** Run that has ended, as its endpoint lists it until it is acknowledged. */
export interface FinishedRun {
    /** Counts up from 1 in each incarnation of the endpoint. */
    readonly number: number;
    readonly task: string;
    readonly run: number;
    readonly result: RunResult;
    readonly reason: string;
}
