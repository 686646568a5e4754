import type { Verdict } from "../../common/Verdict.js";

/** What the callers of a job are told. */
export type JobOutcome =
    /** Every task has ended as done. */
    | { readonly kind: "completed"; }
    /** A task has failed for good. */
    | { readonly kind: "failed"; readonly reason: string; }
    /** Not run, or not to its end; `verdict` says whether tasks may have run. */
    | {
        readonly kind: "refused";
        readonly verdict: Verdict;
        readonly reason: string;
        /** Earliest useful time of another try, in milliseconds from now. */
        readonly retryAfterMs: number;
    };
