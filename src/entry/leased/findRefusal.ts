import { Verdict } from "../../common/Verdict.js";
import { isUnschedulable } from "./isUnschedulable.js";
import type { LeasedJob } from "./LeasedJob.js";
import type { QueueTimeout } from "./QueueTimeout.js";

/**
 * Time after its deadline at which a job that still runs is refused, so that one that is about to end is still
 * answered.
 */
const ANSWER_GRACE_MS = 100;

interface Refusal {
    readonly verdict: Verdict;
    readonly reason: string;
}

/** Returns why a job must be refused at `now`, or undefined while it may go on. */
export function findRefusal(
    job: LeasedJob,
    now: number,
    queueTimeout: QueueTimeout,
    agents: Parameters<typeof isUnschedulable>[1],
): Refusal | undefined {
    if (!job.dispatched && isUnschedulable(job, agents)) {
        return { verdict: Verdict.NotRun, reason: "no endpoint is large enough or has the label" };
    }
    if (!job.dispatched && now >= queueTimeout.refuseAt(job)) {
        return { verdict: Verdict.NotRun, reason: "no room in time" };
    }
    if (now >= job.deadlineAt + ANSWER_GRACE_MS) {
        return { verdict: job.dispatched ? Verdict.MayHaveRun : Verdict.NotRun, reason: "deadline exceeded" };
    }
    return undefined;
}
