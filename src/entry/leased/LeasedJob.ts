import type { JobSubmission } from "../../common/leased/JobSubmission.js";
import type { Route } from "../../common/leased/Route.js";
import type { JobOutcome } from "./JobOutcome.js";
import type { LeasedTask } from "./LeasedTask.js";

/** Job between its submission and its answer. */
export interface LeasedJob {
    readonly order: JobSubmission;
    readonly route: Route;
    readonly tasks: readonly LeasedTask[];
    readonly arrivedAt: number;
    /** Time when its caller stops waiting. */
    readonly deadlineAt: number;
    /** Declared run time of its longest chain, in milliseconds. */
    readonly chainMs: number;
    /** Time by which the answer meets the latency target, by the declared run times. */
    readonly targetAt: number;
    /** Whether a task was ever ordered from an agent. */
    offered: boolean;
    /** Answers every waiting caller, once. */
    readonly settle: (outcome: JobOutcome) => void;
    readonly outcome: Promise<JobOutcome>;
    /** Callers that wait for the outcome. */
    callers: number;
}
