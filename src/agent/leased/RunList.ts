import type { FinishedRun } from "./FinishedRun.js";

/** What runs at an endpoint and what has ended there without being acknowledged. */
export interface RunList {
    /** Start of the life that answered, in milliseconds since 1970; undefined where the answer does not say. */
    readonly bornMs: number | undefined;
    readonly running: readonly { readonly task: string; readonly run: number; }[];
    readonly finished: readonly FinishedRun[];
}
