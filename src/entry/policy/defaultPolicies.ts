import type { Random } from "../../common/Random.js";
import { BudgetedRetry } from "./BudgetedRetry.js";
import { ConsecutiveFailureHealth } from "./ConsecutiveFailureHealth.js";
import { ExpectedWaitAdmission } from "./ExpectedWaitAdmission.js";
import type { FairPolicies } from "./FairPolicies.js";
import { FastestAgent } from "./FastestAgent.js";
import { LearnedSizeEstimates } from "./LearnedSizeEstimates.js";
import { LeastRemainingWork } from "./LeastRemainingWork.js";
import { RelativeSpeedEstimates } from "./RelativeSpeedEstimates.js";
import { StartTimeFairQueueing } from "./StartTimeFairQueueing.js";

/** Creates the policies that a `FairScheduler` of one service uses by default. */
export function defaultPolicies(random: Random): FairPolicies {
    const health = new ConsecutiveFailureHealth();
    const speed = new RelativeSpeedEstimates();
    return {
        admission: new ExpectedWaitAdmission(),
        fairShare: new StartTimeFairQueueing(),
        health,
        ordering: new LeastRemainingWork(),
        placement: new FastestAgent(speed, health),
        retry: new BudgetedRetry(random),
        sizeEstimates: new LearnedSizeEstimates(),
        speed,
    };
}
