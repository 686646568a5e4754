import type { FaultCode } from "../common/FaultCode.js";
import type { Verdict } from "../common/Verdict.js";
import type { Outcome } from "../common/wire/Outcome.js";

/** Decision of the records about a `start`. */
export type StartDecision =
    | { readonly kind: "start"; }
    /** The attempt is on record and still runs. */
    | { readonly kind: "running"; }
    /** The attempt is on record and has ended; its outcome is sent again. */
    | { readonly kind: "repeat"; readonly outcome: Outcome; }
    | {
        readonly kind: "refuse";
        readonly code: FaultCode;
        readonly verdict: Verdict;
        readonly message: string;
    };
