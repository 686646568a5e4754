import type { JobSubmission } from "../../common/leased/JobSubmission.js";
import type { Route } from "../../common/leased/Route.js";
import { chainMs } from "./chainMs.js";
import type { JobOutcome } from "./JobOutcome.js";
import type { LeasedJob } from "./LeasedJob.js";
import type { LeasedTask } from "./LeasedTask.js";
import { TaskState } from "./TaskState.js";

/** Jobs without due times have one occurrence. */
const OCCURRENCE = 0;

/** Creates the job of a submission that arrived at `now` and whose caller waits `budgetMs` milliseconds. */
export function newJob(order: JobSubmission, route: Route, now: number, budgetMs: number): LeasedJob {
    let settle: (outcome: JobOutcome) => void = () => undefined;
    const outcome = new Promise<JobOutcome>(resolve => {
        settle = resolve;
    });
    const chain = chainMs(order.steps);
    return {
        order,
        route,
        tasks: createTasks(order),
        arrivedAt: now,
        deadlineAt: now + budgetMs,
        chainMs: chain,
        targetAt: now + route.stretch * chain + route.targetMs,
        offered: false,
        settle,
        outcome,
        callers: 0,
    };
}

function createTasks(order: JobSubmission): readonly LeasedTask[] {
    return order.steps.flatMap((step, number) => {
        return Array.from({ length: step.count }, (_, index): LeasedTask => ({
            name: `${order.id}.${OCCURRENCE}.${number}.${index}`,
            step: number,
            state: step.after.length === 0 ? TaskState.Ready : TaskState.Blocked,
            run: 1,
            failures: 0,
            agent: undefined,
            placedAt: 0,
            avoided: new Set(),
        }));
    });
}
