import type { Admission } from "./Admission.js";
import type { FairShare } from "./FairShare.js";
import type { Health } from "./Health.js";
import type { Placement } from "./Placement.js";
import type { Retry } from "./Retry.js";
import type { SizeEstimates } from "./SizeEstimates.js";
import type { SpeedEstimates } from "./SpeedEstimates.js";
import type { TeamJobOrdering } from "./TeamJobOrdering.js";

/** Policies from which a `FairScheduler` is composed. */
export interface FairPolicies {
    readonly admission: Admission;
    readonly fairShare: FairShare;
    readonly health: Health;
    readonly ordering: TeamJobOrdering;
    readonly placement: Placement;
    readonly retry: Retry;
    readonly sizeEstimates: SizeEstimates;
    readonly speed: SpeedEstimates;
}
