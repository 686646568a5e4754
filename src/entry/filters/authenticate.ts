import type { MiddlewareHandler } from "hono";
import { createHash, timingSafeEqual } from "node:crypto";
import { Fault } from "../../common/Fault.js";
import { FaultCode } from "../../common/FaultCode.js";
import type { EntrySettings } from "../../common/settings/EntrySettings.js";
import type { HttpEnvironment } from "./HttpEnvironment.js";

const SCHEME = "Bearer ";

/** Filter that finds the caller by its Bearer token; every configured token is compared in constant time. */
export function authenticate(tokens: EntrySettings["tokens"]): MiddlewareHandler<HttpEnvironment> {
    const known = tokens.map(({ token, team, role }) => ({ digest: digestOf(token), caller: { team, role } }));
    return async (context, next) => {
        const header = context.req.header("authorization") ?? "";
        const given = digestOf(header.startsWith(SCHEME) ? header.slice(SCHEME.length) : "");
        const matches = known.filter(({ digest }) => timingSafeEqual(digest, given));
        const [match] = matches;
        if (match === undefined) {
            throw new Fault(FaultCode.Unauthorized, "a valid Bearer token is required");
        }
        context.set("caller", match.caller);
        await next();
    };
}

function digestOf(text: string): Buffer {
    return createHash("sha256").update(text).digest();
}
