import type { Clock } from "../../common/Clock.js";
import type { RunList } from "./RunList.js";

/**
 * Time for which a start without a response may still be executed. The protocol says that such calls may be executed
 * seconds later.
 */
const LATE_START_MS = 5000;

interface LateStart {
    readonly run: number;
    readonly until: number;
}

/**
 * Starts that were not answered and that no list has shown. What rules them out in the incarnation that they were sent
 * to does not hold in the next one under the same id, until that one has seen a higher fence.
 */
export class LateStarts {
    private readonly byTask = new Map<string, readonly LateStart[]>();
    private replaced = false;

    constructor(private readonly clock: Clock) {}

    /** Records a start that was not answered. */
    public add(task: string, run: number): void {
        this.removeOutdated();
        const start = { run, until: this.clock.now() + LATE_START_MS };
        this.byTask.set(task, [...this.byTask.get(task) ?? [], start]);
    }

    /** Whether a start of the task may be executed in the next incarnation. */
    public has(task: string): boolean {
        return this.byTask.get(task)?.some(({ until }) => this.clock.now() < until) ?? false;
    }

    /** Whether a start of any task may be executed in the next incarnation. */
    public get hasAny(): boolean {
        return [...this.byTask.keys()].some(task => this.has(task));
    }

    /** Records that another incarnation was found. */
    public handleReplacement(): void {
        this.replaced = true;
    }

    /**
     * Removes the starts that the list shows as executed, and all of them with the first list of another incarnation,
     * which has seen the higher fence.
     */
    public applyList(list: RunList): void {
        if (this.replaced) {
            this.byTask.clear();
            this.replaced = false;
        }
        for (const { task, run } of [...list.running, ...list.finished]) {
            this.remove(task, run);
        }
    }

    private remove(task: string, run: number): void {
        const others = this.byTask.get(task)?.filter(start => start.run !== run) ?? [];
        this.replaceStarts(task, others);
    }

    private removeOutdated(): void {
        for (const [task, starts] of this.byTask) {
            this.replaceStarts(task, starts.filter(({ until }) => this.clock.now() < until));
        }
    }

    private replaceStarts(task: string, starts: readonly LateStart[]): void {
        if (starts.length === 0) {
            this.byTask.delete(task);
        }
        else {
            this.byTask.set(task, starts);
        }
    }
}
