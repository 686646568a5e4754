import type { Context } from "hono";
import { Fault } from "../../common/Fault.js";
import { FaultCode } from "../../common/FaultCode.js";
import type { Log } from "../../common/log/Log.js";
import { Verdict } from "../../common/Verdict.js";
import { EntryEvent } from "../EntryEvent.js";
import { InputFault } from "./InputFault.js";
import { statusOf } from "./statusOf.js";

const MS_PER_SECOND = 1000;

/** Converts an error from a filter or route into an error response, as described in docs/api.md, and logs it. */
export function toErrorResponse(error: unknown, context: Context, log: Log): Response {
    const fault = error instanceof Fault ? error : internal(error, log);
    log.write(EntryEvent.RequestRefused, { path: context.req.path, code: fault.code, reason: fault.message });
    const { code, message, path, verdict, retryAfterMs } = fault;
    if (retryAfterMs !== undefined) {
        context.header("Retry-After", String(Math.ceil(retryAfterMs / MS_PER_SECOND)));
    }
    const faults = fault instanceof InputFault ? fault.faults : undefined;
    return context.json({ error: { code, message, path, faults }, verdict, retryAfterMs }, statusOf(code));
}

function internal(error: unknown, log: Log): Fault {
    log.write(EntryEvent.RequestFailed, { reason: error instanceof Error ? error.stack : String(error) });
    return new Fault(FaultCode.Internal, "internal error", Verdict.MayHaveRun);
}
