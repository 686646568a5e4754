import type { RunningRole } from "../../common/RunningRole.js";

/** Started endpoint with the ports that it listens on. */
export interface RunningEndpoint extends RunningRole {
    readonly port: number;
}
