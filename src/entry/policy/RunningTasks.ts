import { IndexedHeap } from "./IndexedHeap.js";
import { SizeClass } from "./SizeClass.js";
import { sizeClassLimitMs } from "./sizeClassLimitMs.js";
import type { TaskEntry } from "./TaskEntry.js";

/** Running tasks by size class, with the times at which they exceed the limit of their class or become overdue. */
export class RunningTasks {
    private readonly counts = [0, 0, 0];
    private readonly classes = new Map<TaskEntry, SizeClass>();
    private readonly classLimits = new IndexedHeap<TaskEntry>();
    private readonly overdue = new IndexedHeap<TaskEntry>();

    public get size(): number {
        return this.classes.size;
    }

    /** Number of running tasks by size class. */
    public get byClass(): readonly number[] {
        return this.counts;
    }

    public add(entry: TaskEntry, overdueAt: number): void {
        this.addToClass(entry, entry.sizeClass);
        this.overdue.set(entry, overdueAt);
    }

    public delete(entry: TaskEntry): void {
        this.removeFromClass(entry);
        this.classes.delete(entry);
        this.classLimits.delete(entry);
        this.overdue.delete(entry);
    }

    /** Moves tasks that have run longer than the limit of their class to the next longer class. */
    public reclassify(now: number): void {
        for (let entry = this.classLimits.popUpTo(now); entry !== undefined; entry = this.classLimits.popUpTo(now)) {
            const sizeClass = this.classes.get(entry);
            this.removeFromClass(entry);
            this.addToClass(entry, sizeClass === SizeClass.Short ? SizeClass.Medium : SizeClass.Long);
        }
    }

    /** Returns a task that has become overdue, once per attempt. */
    public popOverdue(now: number): TaskEntry | undefined {
        return this.overdue.popUpTo(now);
    }

    private addToClass(entry: TaskEntry, sizeClass: SizeClass): void {
        this.classes.set(entry, sizeClass);
        this.counts[sizeClass] = (this.counts[sizeClass] ?? 0) + 1;
        if (sizeClass !== SizeClass.Long) {
            this.classLimits.set(entry, entry.startedAt + sizeClassLimitMs(sizeClass));
        }
    }

    private removeFromClass(entry: TaskEntry): void {
        const sizeClass = this.classes.get(entry);
        if (sizeClass !== undefined) {
            this.counts[sizeClass] = (this.counts[sizeClass] ?? 0) - 1;
        }
    }
}
