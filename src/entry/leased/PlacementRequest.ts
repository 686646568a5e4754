import type { Step } from "../../common/leased/Step.js";
import type { LeasedJob } from "./LeasedJob.js";
import type { LeasedTask } from "./LeasedTask.js";

/** Task for which an agent is to be chosen. */
export interface PlacementRequest {
    readonly job: LeasedJob;
    readonly step: Step;
    readonly task: LeasedTask;
    readonly now: number;
    /** Ids of the agents already chosen for other tasks of the job in this placement pass. */
    readonly chosenAgents: ReadonlySet<string>;
}
