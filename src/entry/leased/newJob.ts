import type { JobSubmission } from "../../common/leased/JobSubmission.js";
import type { Route } from "../../common/leased/Route.js";
import { criticalPathMs } from "./criticalPathMs.js";
import type { JobOutcome } from "./JobOutcome.js";
import type { LeasedJob } from "./LeasedJob.js";
import type { LeasedTask } from "./LeasedTask.js";
import { TaskState } from "./TaskState.js";

/** Occurrence number in the names of tasks; always 0, because a job without due times occurs once. */
const OCCURRENCE = 0;

/** Creates the job for a submission that arrived at `now` and whose caller waits `budgetMs` milliseconds. */
export function newJob(submission: JobSubmission, route: Route, now: number, budgetMs: number): LeasedJob {
    let settle: (outcome: JobOutcome) => void = () => undefined;
    const outcome = new Promise<JobOutcome>(resolve => {
        settle = resolve;
    });
    const pathMs = criticalPathMs(submission.steps);
    return {
        submission,
        route,
        tasks: createTasks(submission),
        arrivedAt: now,
        deadlineAt: now + budgetMs,
        criticalPathMs: pathMs,
        targetAt: now + route.stretch * pathMs + route.targetMs,
        dispatched: false,
        settle,
        outcome,
        callers: 0,
    };
}

function createTasks(submission: JobSubmission): readonly LeasedTask[] {
    return submission.steps.flatMap((step, number) => {
        return Array.from({ length: step.count }, (_, index): LeasedTask => ({
            name: `${submission.id}.${OCCURRENCE}.${number}.${index}`,
            step: number,
            state: step.after.length === 0 ? TaskState.Ready : TaskState.Blocked,
            nextRun: 1,
            failures: 0,
            agent: undefined,
            placedAt: 0,
            excludedAgents: new Set(),
        }));
    });
}
