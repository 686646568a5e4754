import type { JobOrdering } from "./JobOrdering.js";
import type { LeasedJob } from "./LeasedJob.js";

/** Keeps jobs that can no longer meet their target behind all that can, in milliseconds of key. */
const LATE_OFFSET_MS = 1_000_000;

/** How much later a job of the next lower urgency counts as due, in milliseconds. */
const PRIORITY_MS = 150;

/** Jobs that can still meet their target come first, by the latest time of their start; then the late ones by age. */
export class TargetFirst implements JobOrdering {
    public key(job: LeasedJob, now: number): number {
        const latestStart = job.targetAt - job.chainMs;
        if (latestStart < now && !job.offered) {
            return LATE_OFFSET_MS + job.arrivedAt;
        }
        return latestStart + PRIORITY_MS * job.route.priority;
    }
}
