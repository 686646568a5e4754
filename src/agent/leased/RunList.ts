import type { FinishedRun } from "./FinishedRun.js";

/** What runs at an endpoint and what has ended there without being acknowledged. */
export interface RunList {
    readonly running: readonly { readonly task: string; readonly run: number; }[];
    readonly finished: readonly FinishedRun[];
}
