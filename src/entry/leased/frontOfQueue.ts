import type { LeasedJob } from "./LeasedJob.js";
import type { LeasedJobOrdering } from "./LeasedJobOrdering.js";

/** Number of jobs at the front of the queue that one placement pass tries to place. */
const MAX_SCANNED_JOBS = 64;

/** Returns the jobs that come first by `ordering`, sorted by it. */
export function frontOfQueue(
    jobs: readonly LeasedJob[],
    ordering: LeasedJobOrdering,
    now: number,
): readonly LeasedJob[] {
    return jobs
        .map(job => ({ job, key: ordering.key(job, now) }))
        .sort((a, b) => a.key - b.key)
        .slice(0, MAX_SCANNED_JOBS)
        .map(({ job }) => job);
}
