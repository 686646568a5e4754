import type { RunningRole } from "../../common/RunningRole.js";

/** Started platform with the ports that it listens on. */
export interface RunningPlatform extends RunningRole {
    readonly port: number;
}
