import type { LeasedJob } from "./LeasedJob.js";
import type { LeasedJobOrdering } from "./LeasedJobOrdering.js";

/**
 * Added to the key of jobs that can no longer meet their latency target, so that they sort behind all jobs that can.
 */
const LATE_OFFSET_MS = 1_000_000;

/**
 * Added to the key for each step of lower urgency: such a job sorts as if it had this much more time, in milliseconds.
 */
const PRIORITY_STEP_MS = 150;

/**
 * Sorts jobs that can still meet their latency target first, by the latest time at which they must start for it; then
 * the late ones, oldest first. A late job of which a task has been sent to an agent keeps its place among the others.
 */
export class LeastSlackFirst implements LeasedJobOrdering {
    public key(job: LeasedJob, now: number): number {
        const latestStart = job.targetAt - job.criticalPathMs;
        if (latestStart < now && !job.dispatched) {
            return LATE_OFFSET_MS + job.arrivedAt;
        }
        return latestStart + PRIORITY_STEP_MS * job.route.priority;
    }
}
