import type { Step } from "../../common/leased/Step.js";
import type { LeasedJob } from "./LeasedJob.js";
import type { LeasedTask } from "./LeasedTask.js";

/** Task that needs an endpoint. */
export interface PlacementQuestion {
    readonly job: LeasedJob;
    readonly step: Step;
    readonly task: LeasedTask;
    readonly now: number;
    /** Agents that have been chosen for other tasks of the job in this pass. */
    readonly chosen: ReadonlySet<string>;
}
