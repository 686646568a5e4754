import type { LeasedJob } from "./LeasedJob.js";

/** Decides in which order waiting jobs are placed. */
export interface JobOrdering {
    /** Sort key at `now`; the lowest comes first. */
    key(job: LeasedJob, now: number): number;
}
