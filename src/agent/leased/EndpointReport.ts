import type { Resources } from "../../common/leased/Resources.js";
import type { EndpointIncarnation } from "./EndpointIncarnation.js";

/** What an endpoint says of itself in a heartbeat. */
export interface EndpointReport {
    readonly life: EndpointIncarnation;
    readonly service: string;
    readonly capacity: Resources;
    /** The kind of its machine comes first. */
    readonly labels: readonly string[];
    readonly draining: boolean;
    /** Rises with each heartbeat of one life. */
    readonly sequence: number;
}
