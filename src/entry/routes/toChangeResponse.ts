import { match } from "ts-pattern";
import { FaultCode } from "../../common/FaultCode.js";
import { Verdict } from "../../common/Verdict.js";
import type { ChangeResult } from "../configuration/ChangeResult.js";
import { errorBody } from "./errorBody.js";

interface ChangeResponse {
    readonly status: number;
    readonly body: Readonly<Record<string, unknown>>;
    readonly headers: Record<string, string>;
}

/** HTTP response to a change of the configuration. */
export function toChangeResponse(result: ChangeResult): ChangeResponse {
    return match(result)
        .with({ kind: "applied" }, ({ revision }) => ({
            status: 200,
            body: { revision, verdict: Verdict.Ran },
            headers: { etag: `"${revision}"` },
        }))
        .with({ kind: "invalid" }, ({ faults }) => ({
            status: 422,
            body: { ...errorBody(FaultCode.BadInput, "section is invalid", Verdict.NotRun, faults[0]?.path), faults },
            headers: {},
        }))
        .with({ kind: "conflict" }, ({ revision, current, changed, requested, requestedAgainst }) => ({
            status: 412,
            body: {
                ...errorBody(FaultCode.RevisionConflict, "the section has changed since it was read"),
                revision,
                current,
                changed,
                requested,
                requestedAgainst,
            },
            headers: { etag: `"${revision}"` },
        }))
        .with({ kind: "refused" }, ({ fault }) => ({
            status: fault.code === FaultCode.NotFound ? 404 : 503,
            body: { ...errorBody(fault.code, fault.message, fault.verdict), retryAfterMs: fault.retryAfterMs },
            headers: {},
        }))
        .with({ kind: "unknown" }, ({ token }) => ({
            status: 503,
            body: {
                ...errorBody(
                    FaultCode.StoreUnavailable,
                    `the outcome of the change is unknown; request GET /v1/config/tokens/${token}`,
                    Verdict.MayHaveRun,
                ),
                token,
            },
            headers: {},
        }))
        .exhaustive();
}
