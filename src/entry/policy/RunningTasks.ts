import { IndexedHeap } from "./IndexedHeap.js";
import { SizeClass } from "./SizeClass.js";
import { sizeClassLimitMs } from "./sizeClassLimitMs.js";
import type { TaskEntry } from "./TaskEntry.js";

/** Running tasks by size class, with the times at which they outlive their class or become overdue. */
export class RunningTasks {
    private readonly counts = [0, 0, 0];
    private readonly classes = new Map<TaskEntry, SizeClass>();
    private readonly outlives = new IndexedHeap<TaskEntry>();
    private readonly overdue = new IndexedHeap<TaskEntry>();

    public get size(): number {
        return this.classes.size;
    }

    /** Running tasks by size class. */
    public get byClass(): readonly number[] {
        return this.counts;
    }

    public add(entry: TaskEntry, overdueAt: number): void {
        this.enter(entry, entry.sizeClass);
        this.overdue.set(entry, overdueAt);
    }

    public delete(entry: TaskEntry): void {
        this.leave(entry);
        this.classes.delete(entry);
        this.outlives.delete(entry);
        this.overdue.delete(entry);
    }

    /** Counts tasks that run longer than their class as the longer class. */
    public reclassify(now: number): void {
        for (let entry = this.outlives.popUpTo(now); entry !== undefined; entry = this.outlives.popUpTo(now)) {
            const sizeClass = this.classes.get(entry);
            this.leave(entry);
            this.enter(entry, sizeClass === SizeClass.Short ? SizeClass.Medium : SizeClass.Long);
        }
    }

    /** Returns a task that has become overdue, once per attempt. */
    public takeOverdue(now: number): TaskEntry | undefined {
        return this.overdue.popUpTo(now);
    }

    private enter(entry: TaskEntry, sizeClass: SizeClass): void {
        this.classes.set(entry, sizeClass);
        this.counts[sizeClass] = (this.counts[sizeClass] ?? 0) + 1;
        if (sizeClass !== SizeClass.Long) {
            this.outlives.set(entry, entry.startedAt + sizeClassLimitMs(sizeClass));
        }
    }

    private leave(entry: TaskEntry): void {
        const sizeClass = this.classes.get(entry);
        if (sizeClass !== undefined) {
            this.counts[sizeClass] = (this.counts[sizeClass] ?? 0) - 1;
        }
    }
}
