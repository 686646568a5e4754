import { IndexedHeap } from "./IndexedHeap.js";
import type { JobEntry } from "./JobEntry.js";
import type { TeamEntry } from "./TeamEntry.js";

/**
 * Share of the time from admission to the deadline that is reserved for the last tasks of a job. Some of them run long
 * although they are declared short, and some run on slow agents, so the expected run times of the remaining tasks do
 * not predict how long the end of a job takes.
 */
const TAIL_SHARE = 0.5;

/**
 * Latest time at which each admitted job must go before the other jobs of its team to meet its deadline. Smaller jobs
 * may overtake it only until then, because the work done for a job that misses its deadline is wasted.
 */
export class LatestStarts {
    private readonly due = new IndexedHeap<JobEntry>();
    private readonly byTeam = new Map<TeamEntry, IndexedHeap<JobEntry>>();

    /** Adds or updates a job with queued work; `rate` is the work per millisecond to which its team is entitled. */
    public set(job: JobEntry, rate: number): void {
        const tailMs = (job.deadlineAt - job.enqueuedAt) * TAIL_SHARE;
        const latest = job.deadlineAt - tailMs - job.queuedMs / rate;
        const heap = this.byTeam.get(job.team) ?? new IndexedHeap<JobEntry>();
        this.byTeam.set(job.team, heap);
        heap.set(job, latest);
        if (!job.urgent) {
            this.due.set(job, latest);
        }
    }

    public delete(job: JobEntry): void {
        this.due.delete(job);
        const heap = this.byTeam.get(job.team);
        if (heap?.delete(job) === true && heap.size === 0) {
            this.byTeam.delete(job.team);
        }
    }

    /** Returns a job whose latest start has come, once per job. */
    public popDue(now: number): JobEntry | undefined {
        return this.due.popUpTo(now);
    }

    /** Job of the team with the earliest latest start, and that time. */
    public first(team: TeamEntry): { readonly job: JobEntry; readonly latestStart: number; } | undefined {
        const heap = this.byTeam.get(team);
        const job = heap?.peek();
        return heap === undefined || job === undefined ? undefined : { job, latestStart: heap.peekKey() };
    }
}
