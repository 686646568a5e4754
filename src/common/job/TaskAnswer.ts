import type { FaultCode } from "../FaultCode.js";
import type { Verdict } from "../Verdict.js";

/** Part of a job answer that concerns one task. */
export interface TaskAnswer {
    /** Position of the task in the submission, from 0. */
    readonly index: number;
    readonly verdict: Verdict;
    /** JSON value from the endpoint; present only when the whole job is complete. */
    readonly output?: unknown;
    readonly error?: { readonly code: FaultCode; readonly message: string; } | undefined;
}
