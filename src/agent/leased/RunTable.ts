import { addResources } from "../../common/leased/addResources.js";
import { NO_RESOURCES } from "../../common/leased/NO_RESOURCES.js";
import type { Resources } from "../../common/leased/Resources.js";
import type { OrderedRun } from "./OrderedRun.js";
import { RunPhase } from "./RunPhase.js";

/** Runs of one endpoint by their tasks, in the order of their arrival, and the room that they take. */
export class RunTable {
    private readonly byTask = new Map<string, OrderedRun>();
    private occupied: Resources = NO_RESOURCES;

    /** Room of all runs, also of those that wait. */
    public get used(): Resources {
        return this.occupied;
    }

    /** Room of the runs that have begun, or may have. */
    public get begun(): Resources {
        return this.all
            .filter(run => run.phase !== RunPhase.Waiting)
            .reduce((sum, run) => addResources(sum, run.need), NO_RESOURCES);
    }

    /** All runs; the list does not change with the table. */
    public get all(): readonly OrderedRun[] {
        return [...this.byTask.values()];
    }

    /** Time on the endpoint's clock beyond which no lease is renewed. */
    public get leaseLimitMs(): number {
        return this.all.reduce((limit, run) => Math.min(limit, run.leaseLimitMs), Number.POSITIVE_INFINITY);
    }

    public get size(): number {
        return this.byTask.size;
    }

    public get(task: string): OrderedRun | undefined {
        return this.byTask.get(task);
    }

    /** Whether `run` is still the run of its task. */
    public holds(run: OrderedRun): boolean {
        return this.byTask.get(run.task) === run;
    }

    public add(run: OrderedRun): void {
        this.byTask.set(run.task, run);
        this.occupied = addResources(this.occupied, run.need);
    }

    public remove(run: OrderedRun): void {
        this.byTask.delete(run.task);
        this.occupied = addResources(this.occupied, run.need, -1);
    }
}
