import type { Verdict } from "../common/Verdict.js";

/** Failed request of the command line to an entry. */
export interface EntryError {
    /** Whether another entry may respond: no connection, a timeout, or a response that is not of the entry API. */
    readonly unreachable: boolean;
    /** HTTP status; undefined without a response. */
    readonly status?: number | undefined;
    readonly code: string;
    readonly message: string;
    readonly path?: string | undefined;
    /** Validation errors of a malformed request body. */
    readonly faults?: readonly { readonly path: string; readonly message: string; }[] | undefined;
    readonly verdict: Verdict;
    /** Token for the outcome of a configuration change; see `EntryClient.changeOutcome`. */
    readonly token?: string | undefined;
    readonly retryAfterMs?: number | undefined;
}
