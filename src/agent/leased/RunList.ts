import type { FinishedRun } from "./FinishedRun.js";

/** Runs at an endpoint: those in progress, and the finished ones that have not been acknowledged. */
export interface RunList {
    /**
     * Start time of the incarnation that answered, in milliseconds since 1970; undefined when the response lacks it.
     */
    readonly bornMs: number | undefined;
    readonly running: readonly { readonly task: string; readonly run: number; }[];
    readonly finished: readonly FinishedRun[];
}
