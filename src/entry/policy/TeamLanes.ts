import { IndexedHeap } from "./IndexedHeap.js";
import type { JobEntry } from "./JobEntry.js";

/**
 * Queued jobs of one size class and one group of agents, by team. Teams whose tag is at most the horizon are eligible,
 * and of these the one with the smallest job key is served. Every operation takes O(log n) amortised.
 */
export class TeamLanes {
    private readonly jobs = new Map<string, IndexedHeap<JobEntry>>();
    private readonly byTag = new IndexedHeap<string>();
    private readonly eligible = new IndexedHeap<string>();
    private readonly ineligible = new IndexedHeap<string>();

    /** Smallest tag of a team with queued work; Infinity when there is none. */
    public get smallestTag(): number {
        return this.byTag.peekKey();
    }

    public setJob(job: JobEntry, tag: number): void {
        const team = job.team.name;
        const heap = this.jobs.get(team) ?? new IndexedHeap<JobEntry>();
        this.jobs.set(team, heap);
        heap.set(job, job.key);
        if (!this.byTag.has(team)) {
            this.byTag.set(team, tag);
            this.ineligible.set(team, tag);
        }
        this.rank(team, heap);
    }

    public deleteJob(job: JobEntry): void {
        const team = job.team.name;
        const heap = this.jobs.get(team);
        if (heap?.delete(job) !== true) {
            return;
        }
        if (heap.size > 0) {
            this.rank(team, heap);
            return;
        }
        this.jobs.delete(team);
        this.byTag.delete(team);
        this.eligible.delete(team);
        this.ineligible.delete(team);
    }

    /** Sets the tag of a team if it has queued work here. */
    public setTag(team: string, tag: number): void {
        if (this.byTag.has(team)) {
            this.byTag.set(team, tag);
            if (this.ineligible.has(team)) {
                this.ineligible.set(team, tag);
            }
        }
    }

    /** Returns the job with the smallest key of the teams whose tag is at most `horizon`. */
    public best(horizon: number): JobEntry | undefined {
        this.promote(horizon);
        for (let team = this.eligible.peek(); team !== undefined; team = this.eligible.peek()) {
            const tag = this.byTag.keyOf(team) ?? 0;
            if (tag <= horizon) {
                return this.jobs.get(team)?.peek();
            }
            this.eligible.delete(team);
            this.ineligible.set(team, tag);
        }
        return undefined;
    }

    private promote(horizon: number): void {
        for (let team = this.ineligible.popUpTo(horizon); team !== undefined; team = this.ineligible.popUpTo(horizon)) {
            this.eligible.set(team, this.jobs.get(team)?.peekKey() ?? Infinity);
        }
    }

    private rank(team: string, heap: IndexedHeap<JobEntry>): void {
        if (this.eligible.has(team)) {
            this.eligible.set(team, heap.peekKey());
        }
    }
}
