import type { Context, MiddlewareHandler } from "hono";
import { bodyLimit } from "hono/body-limit";
import { Fault } from "../../common/Fault.js";
import { FaultCode } from "../../common/FaultCode.js";
import { Verdict } from "../../common/Verdict.js";
import type { BodyBudget } from "./BodyBudget.js";
import type { HttpEnvironment } from "./HttpEnvironment.js";

const RETRY_AFTER_MS = 1000;

/**
 * Filter that receives the whole body before later filters and routes run. It refuses bodies over `maxBytes`, including
 * those sent without a length, and bodies that exceed the remaining budget of all requests together.
 */
export function limitBody(maxBytes: number, budget: BodyBudget): MiddlewareHandler<HttpEnvironment> {
    const limit = bodyLimit({
        maxSize: maxBytes,
        onError: () => {
            throw new Fault(FaultCode.TooLarge, `the body exceeds the limit of ${maxBytes} bytes`);
        },
    });
    return async (context, next) => {
        const bytes = reservedBytes(context, maxBytes);
        if (!budget.reserve(bytes)) {
            const message = "too many request bodies arrive at once";
            throw new Fault(FaultCode.Overloaded, message, Verdict.NotRun, RETRY_AFTER_MS);
        }
        try {
            await limit(context, async () => {
                await context.req.text();
            });
        }
        catch (error) {
            throw error instanceof Fault ? error : new Fault(FaultCode.BadInput, "the body did not arrive completely");
        }
        finally {
            budget.release(bytes);
        }
        await next();
    };
}

function reservedBytes(context: Context, maxBytes: number): number {
    if (context.req.method === "GET" || context.req.method === "HEAD") {
        return 0;
    }
    const length = context.req.header("content-length");
    return length === undefined ? maxBytes : Math.min(Number(length), maxBytes);
}
