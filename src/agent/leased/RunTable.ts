import { addResources } from "../../common/leased/addResources.js";
import { NO_RESOURCES } from "../../common/leased/NO_RESOURCES.js";
import type { Resources } from "../../common/leased/Resources.js";
import type { OrderedRun } from "./OrderedRun.js";
import { RunPhase } from "./RunPhase.js";

/** Runs of one endpoint by task, in order of arrival, and the resources that they use. */
export class RunTable {
    private readonly byTask = new Map<string, OrderedRun>();
    private usedResources: Resources = NO_RESOURCES;

    /** Resources of all runs, including those that wait. */
    public get used(): Resources {
        return this.usedResources;
    }

    /** Resources of the runs that have begun or may have begun. */
    public get usedByStarted(): Resources {
        return this.all
            .filter(run => run.phase !== RunPhase.Waiting)
            .reduce((sum, run) => addResources(sum, run.need), NO_RESOURCES);
    }

    /** Snapshot of all runs. */
    public get all(): readonly OrderedRun[] {
        return [...this.byTask.values()];
    }

    /** Time on the endpoint's clock beyond which the endpoint lease is not renewed. */
    public get leaseLimitMs(): number {
        return this.all.reduce((limit, run) => Math.min(limit, run.leaseLimitMs), Number.POSITIVE_INFINITY);
    }

    public get size(): number {
        return this.byTask.size;
    }

    public get(task: string): OrderedRun | undefined {
        return this.byTask.get(task);
    }

    /** Whether `run` is still the current run of its task. */
    public isCurrent(run: OrderedRun): boolean {
        return this.byTask.get(run.task) === run;
    }

    public add(run: OrderedRun): void {
        this.byTask.set(run.task, run);
        this.usedResources = addResources(this.usedResources, run.need);
    }

    public remove(run: OrderedRun): void {
        this.byTask.delete(run.task);
        this.usedResources = addResources(this.usedResources, run.need, -1);
    }
}
