import type { RunningRole } from "../../common/RunningRole.js";

/** Running endpoint stub with the port that it listens on. */
export interface RunningEndpoint extends RunningRole {
    readonly port: number;
}
