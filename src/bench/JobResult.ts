import type { Verdict } from "../common/Verdict.js";
import type { Execution } from "./Execution.js";
import type { JobOutcome } from "./JobOutcome.js";
import type { PlannedJob } from "./PlannedJob.js";

/** Result of one job of a load run. Times are milliseconds. */
export interface JobResult {
    readonly job: PlannedJob;
    /** Ticket of the submission; undefined when none was to be had. */
    readonly ticket: string | undefined;
    readonly outcome: JobOutcome;
    /** Code of the refusal or failure, such as `overloaded`. */
    readonly code: string | undefined;
    /** Planned arrival to answer, so that a late load tool counts against the result. */
    readonly responseMs: number;
    /** Sending of the request to its answer. */
    readonly answerMs: number;
    /** Delay of the load tool itself: planned arrival to sending. */
    readonly lagMs: number;
    /** Times the job was sent again under the same ticket. */
    readonly resubmissions: number;
    /** Verdict of each task of a failed job, in order. */
    readonly verdicts: readonly Verdict[];
    /** Runs of the tasks of a complete job. */
    readonly executions: readonly Execution[];
}
