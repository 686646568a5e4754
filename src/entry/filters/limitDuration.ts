import type { MiddlewareHandler } from "hono";
import type { Clock } from "../../common/Clock.js";
import { Fault } from "../../common/Fault.js";
import { FaultCode } from "../../common/FaultCode.js";
import { Verdict } from "../../common/Verdict.js";
import { withTimeout } from "../controllers/withTimeout.js";
import type { HttpEnvironment } from "./HttpEnvironment.js";

/** Filter that limits the time of a request, as a last resort in case the handler's own time limits fail. */
export function limitDuration(clock: Clock, limitMs: number): MiddlewareHandler<HttpEnvironment> {
    return async (_context, next) => {
        const done = await withTimeout(clock, next().then(() => true), limitMs);
        if (done === undefined) {
            throw new Fault(FaultCode.Timeout, `no response within ${limitMs} ms`, Verdict.MayHaveRun);
        }
    };
}
