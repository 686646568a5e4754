import type { LeasedJob } from "./LeasedJob.js";

/** Decides which of the waiting jobs gets free room first. */
export interface JobOrdering {
    /** Sort key at `now`; the lowest comes first. */
    key(job: LeasedJob, now: number): number;
}
