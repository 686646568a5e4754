import type { JobSubmission } from "../../common/leased/JobSubmission.js";
import type { Route } from "../../common/leased/Route.js";
import type { JobOutcome } from "./JobOutcome.js";
import type { LeasedTask } from "./LeasedTask.js";

/** Open job: submitted and not answered yet. Times are in milliseconds of the entry's clock. */
export interface LeasedJob {
    readonly submission: JobSubmission;
    readonly route: Route;
    readonly tasks: readonly LeasedTask[];
    readonly arrivedAt: number;
    /** Time at which its caller stops waiting. */
    readonly deadlineAt: number;
    /** Declared run time of its longest chain of dependent steps, in milliseconds. */
    readonly criticalPathMs: number;
    /** Time by which the job must be answered to meet its latency target, which depends on the declared run times. */
    readonly targetAt: number;
    /** Whether any of its tasks has ever been sent to an agent. */
    dispatched: boolean;
    /** Resolves `outcome`, which answers every waiting caller. Only the first call has an effect. */
    readonly settle: (outcome: JobOutcome) => void;
    readonly outcome: Promise<JobOutcome>;
    /** Number of callers that wait for the outcome. */
    callers: number;
}
