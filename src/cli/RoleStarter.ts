import type { RunningRole } from "../common/RunningRole.js";
import type { Runtime } from "../common/Runtime.js";

/** Starts a role; each role's class has this as its static method. */
export interface RoleStarter<S, R extends RunningRole = RunningRole> {
    start(settings: S, runtime: Runtime): Promise<R>;
}
