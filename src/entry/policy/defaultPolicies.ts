import type { Random } from "../../common/Random.js";
import { BudgetedRetry } from "./BudgetedRetry.js";
import { ExpectedWaitAdmission } from "./ExpectedWaitAdmission.js";
import type { FairPolicies } from "./FairPolicies.js";
import { Fastest } from "./Fastest.js";
import { LearntSizes } from "./LearntSizes.js";
import { LeastRemainingWork } from "./LeastRemainingWork.js";
import { RelativeSpeed } from "./RelativeSpeed.js";
import { StartTimeFairShare } from "./StartTimeFairShare.js";
import { StreakHealth } from "./StreakHealth.js";

/** Returns new policies for one service. */
export function defaultPolicies(random: Random): FairPolicies {
    const health = new StreakHealth();
    const speed = new RelativeSpeed();
    return {
        admission: new ExpectedWaitAdmission(),
        fairShare: new StartTimeFairShare(),
        health,
        order: new LeastRemainingWork(),
        placement: new Fastest(speed, health),
        retry: new BudgetedRetry(random),
        sizes: new LearntSizes(),
        speed,
    };
}
