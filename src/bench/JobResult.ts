import type { Verdict } from "../common/Verdict.js";
import type { Execution } from "./Execution.js";
import type { JobOutcome } from "./JobOutcome.js";
import type { PlannedJob } from "./PlannedJob.js";

/** Result of one job of a load run. Times are milliseconds. */
export interface JobResult {
    readonly job: PlannedJob;
    /** Ticket of the submission; undefined when no ticket was available. */
    readonly ticket: string | undefined;
    readonly outcome: JobOutcome;
    /** Code of the refusal or failure, such as `overloaded`. */
    readonly code: string | undefined;
    /** Time from the planned arrival to the answer, so that lag of the load tool counts against the result. */
    readonly responseMs: number;
    /** Time from the sending of the request to the answer. */
    readonly answerMs: number;
    /** Lag of the load tool: time from the planned arrival to the sending. */
    readonly lagMs: number;
    /** Number of times the job was sent again, under the same ticket or a new one. */
    readonly resubmissions: number;
    /** Verdict of each task of a failed job, by task index. */
    readonly verdicts: readonly Verdict[];
    /** Runs of the tasks of a complete job. */
    readonly executions: readonly Execution[];
}
