import type { RunningRole } from "../../common/RunningRole.js";

/** Running agent with the ports that it listens on. */
export interface RunningAgent extends RunningRole {
    readonly port: number;
    readonly announcePort: number;
}
