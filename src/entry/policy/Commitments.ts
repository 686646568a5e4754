import { IndexedHeap } from "./IndexedHeap.js";
import type { JobEntry } from "./JobEntry.js";
import type { TeamEntry } from "./TeamEntry.js";

/**
 * Part of the time to the deadline in which the last tasks of a job run. Some of them are long although declared short,
 * and some run on slow agents, so that the expected times of the tasks left do not tell how long the end takes.
 */
const TAIL_SHARE = 0.5;

/**
 * Latest times at which admitted jobs must start to be served before others of their team. Work of a job that misses its
 * deadline is lost, so smaller jobs may overtake a job only until then.
 */
export class Commitments {
    private readonly starts = new IndexedHeap<JobEntry>();
    private readonly byTeam = new Map<TeamEntry, IndexedHeap<JobEntry>>();

    /** Watches a job with queued work; `pace` is the work per millisecond that its team is due. */
    public watch(job: JobEntry, pace: number): void {
        const tailMs = (job.deadlineAt - job.enqueuedAt) * TAIL_SHARE;
        const latest = job.deadlineAt - tailMs - job.queuedMs / pace;
        const heap = this.byTeam.get(job.team) ?? new IndexedHeap<JobEntry>();
        this.byTeam.set(job.team, heap);
        heap.set(job, latest);
        if (!job.urgent) {
            this.starts.set(job, latest);
        }
    }

    public forget(job: JobEntry): void {
        this.starts.delete(job);
        const heap = this.byTeam.get(job.team);
        if (heap?.delete(job) === true && heap.size === 0) {
            this.byTeam.delete(job.team);
        }
    }

    /** Returns a job whose latest start has come, once. */
    public takeDue(now: number): JobEntry | undefined {
        return this.starts.popUpTo(now);
    }

    /** Job of the team that must start first, and the time by which it must. */
    public first(team: TeamEntry): { readonly job: JobEntry; readonly latestStart: number; } | undefined {
        const heap = this.byTeam.get(team);
        const job = heap?.peek();
        return heap === undefined || job === undefined ? undefined : { job, latestStart: heap.peekKey() };
    }
}
