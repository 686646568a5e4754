import type { JobOrdering } from "./JobOrdering.js";
import type { LeasedJob } from "./LeasedJob.js";

/** Jobs at the front of the queue for which room is sought in one pass. */
const MAX_SCANNED_JOBS = 64;

/** The jobs that come first by `ordering`, in its order. */
export function frontOfQueue(jobs: readonly LeasedJob[], ordering: JobOrdering, now: number): readonly LeasedJob[] {
    return jobs
        .map(job => ({ job, key: ordering.key(job, now) }))
        .sort((a, b) => a.key - b.key)
        .slice(0, MAX_SCANNED_JOBS)
        .map(({ job }) => job);
}
