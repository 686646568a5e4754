import type { MiddlewareHandler } from "hono";
import { Fault } from "../../common/Fault.js";
import { FaultCode } from "../../common/FaultCode.js";
import type { HttpEnvironment } from "./HttpEnvironment.js";
import type { TokenIndex } from "./TokenIndex.js";

/** Filter that identifies the caller by its Bearer token and refuses requests without a valid one. */
export function authenticate(tokens: TokenIndex): MiddlewareHandler<HttpEnvironment> {
    return async (context, next) => {
        const principal = tokens.find(context.req.header("authorization"));
        if (principal === undefined) {
            throw new Fault(FaultCode.Unauthorized, "a valid Bearer token is required");
        }
        context.set("caller", principal);
        await next();
    };
}
