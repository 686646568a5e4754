import type { LeasedJob } from "./LeasedJob.js";

/** Sort order in which the waiting jobs of an entry are placed. */
export interface LeasedJobOrdering {
    /** Sort key at `now`; the lowest comes first. */
    key(job: LeasedJob, now: number): number;
}
