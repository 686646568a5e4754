import type { JobOrdering } from "./JobOrdering.js";
import type { LeasedJob } from "./LeasedJob.js";

/** Keeps jobs that can no longer meet their target behind all that can, in milliseconds of key. */
const LATE_OFFSET_MS = 1_000_000;

/** Jobs that can still meet their target come first, by the latest time of their start; then the late ones by age. */
export class TargetFirst implements JobOrdering {
    public key(job: LeasedJob, now: number): number {
        const latestStart = job.targetAt - job.chainMs;
        return latestStart >= now || job.offered ? latestStart : LATE_OFFSET_MS + job.arrivedAt;
    }
}
