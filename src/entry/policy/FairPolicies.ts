import type { Admission } from "./Admission.js";
import type { FairShare } from "./FairShare.js";
import type { Health } from "./Health.js";
import type { Order } from "./Order.js";
import type { Placement } from "./Placement.js";
import type { Retry } from "./Retry.js";
import type { Sizes } from "./Sizes.js";
import type { Speed } from "./Speed.js";

/** Policies that a `FairScheduler` is composed of. */
export interface FairPolicies {
    readonly admission: Admission;
    readonly fairShare: FairShare;
    readonly health: Health;
    readonly order: Order;
    readonly placement: Placement;
    readonly retry: Retry;
    readonly sizes: Sizes;
    readonly speed: Speed;
}
