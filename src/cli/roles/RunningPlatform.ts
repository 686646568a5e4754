import type { RunningRole } from "../../common/RunningRole.js";

/** Running platform stub with the port that it listens on. */
export interface RunningPlatform extends RunningRole {
    readonly port: number;
}
