import type { Verdict } from "../../common/Verdict.js";

/** Final answer to the callers of a job. */
export type JobOutcome =
    /** Every task is done. */
    | { readonly kind: "completed"; }
    /** A task has failed as often as its route allows. */
    | { readonly kind: "failed"; readonly reason: string; }
    /** The job was not run, or not to its end; `verdict` says whether any of its tasks may have run. */
    | {
        readonly kind: "refused";
        readonly verdict: Verdict;
        readonly reason: string;
        /** Earliest time at which another attempt is useful, in milliseconds from now. */
        readonly retryAfterMs: number;
    };
