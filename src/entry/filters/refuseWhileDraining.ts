import type { MiddlewareHandler } from "hono";
import { Fault } from "../../common/Fault.js";
import { FaultCode } from "../../common/FaultCode.js";
import { Verdict } from "../../common/Verdict.js";
import type { HttpEnvironment } from "./HttpEnvironment.js";

/** Filter that refuses requests while the entry drains. */
export function refuseWhileDraining(draining: () => boolean): MiddlewareHandler<HttpEnvironment> {
    return async (_context, next) => {
        if (draining()) {
            throw new Fault(FaultCode.Draining, "this entry is draining; use another one", Verdict.NotRun, 0);
        }
        await next();
    };
}
