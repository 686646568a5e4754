import type { RunResult } from "../../common/leased/RunResult.js";

/** Run that has ended, as its endpoint lists it until it is acknowledged. */
export interface FinishedRun {
    /** Rises from 1 in each life of the endpoint. */
    readonly number: number;
    readonly task: string;
    readonly run: number;
    readonly result: RunResult;
    readonly reason: string;
}
