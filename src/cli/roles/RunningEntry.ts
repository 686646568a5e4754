import type { RunningRole } from "../../common/RunningRole.js";

/** Running entry with the ports that it listens on. */
export interface RunningEntry extends RunningRole {
    readonly httpPort: number;
    readonly wirePort: number;
}
