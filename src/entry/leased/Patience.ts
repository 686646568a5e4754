import type { LeasedJob } from "./LeasedJob.js";

/** Share of a job's time until which it may wait for its first start; a later refusal costs its caller more than it gains. */
const MAX_WAIT_SHARE = 0.45;

/** Decides until when a job may wait for its first start before it is refused. */
export class Patience {
    public refuseAt(job: LeasedJob): number {
        const byTime = job.arrivedAt + MAX_WAIT_SHARE * (job.deadlineAt - job.arrivedAt);
        return Math.min(byTime, job.deadlineAt - job.chainMs);
    }
}
