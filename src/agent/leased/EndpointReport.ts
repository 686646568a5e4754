import type { Resources } from "../../common/leased/Resources.js";
import type { EndpointIncarnation } from "./EndpointIncarnation.js";

/** What an endpoint reports about itself in a heartbeat. */
export interface EndpointReport {
    /** Incarnation that sent the heartbeat; called `life` in the stored row. */
    readonly life: EndpointIncarnation;
    readonly service: string;
    readonly capacity: Resources;
    /** The kind of its machine comes first. */
    readonly labels: readonly string[];
    readonly draining: boolean;
    /** Increases with each heartbeat of an incarnation. */
    readonly sequence: number;
}
