import type { LeasedJob } from "./LeasedJob.js";

/**
 * Share of the caller's waiting time after which a job that has not started is refused. A later refusal would cost the
 * caller more than the longer wait gains.
 */
const MAX_WAIT_SHARE = 0.45;

/** Share of the route's timeout that a job may wait although it can no longer meet its latency target. */
const LATE_WAIT_SHARE = 0.3;

/** Decides how long a job may wait in the queue, before any of its tasks is started, until it is refused. */
export class QueueTimeout {
    public refuseAt(job: LeasedJob): number {
        const latestStart = job.targetAt - job.criticalPathMs;
        const lateLimit = job.arrivedAt + LATE_WAIT_SHARE * job.route.timeoutMs;
        const limit = job.arrivedAt + MAX_WAIT_SHARE * (job.deadlineAt - job.arrivedAt);
        return Math.min(limit, job.deadlineAt - job.criticalPathMs, Math.max(latestStart, lateLimit));
    }
}
