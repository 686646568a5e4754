import type { MiddlewareHandler } from "hono";
import { bodyLimit } from "hono/body-limit";
import { Fault } from "../../common/Fault.js";
import { FaultCode } from "../../common/FaultCode.js";
import type { HttpEnvironment } from "./HttpEnvironment.js";

/** Filter that refuses bodies over `maxBytes`, also those sent without a length. */
export function limitBody(maxBytes: number): MiddlewareHandler<HttpEnvironment> {
    return bodyLimit({
        maxSize: maxBytes,
        onError: () => {
            throw new Fault(FaultCode.TooLarge, `a request body has at most ${maxBytes} bytes`);
        },
    });
}
