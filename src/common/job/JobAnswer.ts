import type { FaultCode } from "../FaultCode.js";
import type { Verdict } from "../Verdict.js";
import type { JobState } from "./JobState.js";
import type { TaskAnswer } from "./TaskAnswer.js";

/**
 * Answer to a job: complete with every output, or failed with a verdict for every task. Partial results are never
 * returned.
 */
export interface JobAnswer {
    readonly ticket: string;
    readonly state: JobState;
    /** `ran` when every task ran, `not_run` when none was started, else `may_have_run`. */
    readonly verdict: Verdict;
    readonly reason?: { readonly code: FaultCode; readonly message: string; } | undefined;
    /** Progress of a running job; absent in final answers. */
    readonly progress?: { readonly ended: number; readonly tasks: number; } | undefined;
    /** Empty while the job is running. */
    readonly tasks: readonly TaskAnswer[];
}
