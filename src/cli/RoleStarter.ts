import type { RunningRole } from "../common/RunningRole.js";
import type { Runtime } from "../common/Runtime.js";

/** Class of a role as the command line uses it. */
export interface RoleStarter<S, R extends RunningRole = RunningRole> {
    start(settings: S, runtime: Runtime): Promise<R>;
}
