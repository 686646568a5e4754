import type { FaultCode } from "../../common/FaultCode.js";
import { Verdict } from "../../common/Verdict.js";

/** Body of an HTTP error. */
export function errorBody(code: FaultCode, message: string, verdict: Verdict = Verdict.NotRun, path?: string) {
    return { error: { code, message, ...(path === undefined ? {} : { path }) }, verdict };
}
