import type { LeasedJob } from "./LeasedJob.js";

/** Share of a caller's time until which its job may wait; a later refusal costs the caller more than it gains. */
const MAX_WAIT_SHARE = 0.45;

/** Share of the route's time that a job may wait although its target is missed already. */
const LATE_WAIT_SHARE = 0.3;

/** Decides until when a job may wait for its first start before it is refused. */
export class Patience {
    public refuseAt(job: LeasedJob): number {
        const latestStart = job.targetAt - job.chainMs;
        const late = job.arrivedAt + LATE_WAIT_SHARE * job.route.timeoutMs;
        const limit = job.arrivedAt + MAX_WAIT_SHARE * (job.deadlineAt - job.arrivedAt);
        return Math.min(limit, job.deadlineAt - job.chainMs, Math.max(latestStart, late));
    }
}
