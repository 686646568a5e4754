import type { Verdict } from "../common/Verdict.js";

/** Failed request of the command line to an entry. */
export interface EntryError {
    /** Whether another entry may answer: no connection, no answer in time, or an answer that is not of our interface. */
    readonly unreachable: boolean;
    /** HTTP status; undefined without an answer. */
    readonly status?: number | undefined;
    readonly code: string;
    readonly message: string;
    readonly path?: string | undefined;
    /** Every fault of a malformed body. */
    readonly faults?: readonly { readonly path: string; readonly message: string; }[] | undefined;
    readonly verdict: Verdict;
    /** Token that tells the fate of a configuration change. */
    readonly token?: string | undefined;
    readonly retryAfterMs?: number | undefined;
}
