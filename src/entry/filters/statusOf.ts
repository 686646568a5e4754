import type { ContentfulStatusCode } from "hono/utils/http-status";
import { FaultCode } from "../../common/FaultCode.js";

const STATUS: Readonly<Partial<Record<FaultCode, ContentfulStatusCode>>> = {
    [FaultCode.BadInput]: 400,
    [FaultCode.TicketInvalid]: 400,
    [FaultCode.NeverRunnable]: 422,
    [FaultCode.Unauthorized]: 401,
    [FaultCode.Forbidden]: 403,
    [FaultCode.NotFound]: 404,
    [FaultCode.UnknownService]: 404,
    [FaultCode.TicketConflict]: 409,
    [FaultCode.RevisionConflict]: 409,
    [FaultCode.TicketExpired]: 410,
    [FaultCode.TooLarge]: 413,
    [FaultCode.TicketRequired]: 428,
    [FaultCode.Overloaded]: 429,
    [FaultCode.QuotaExceeded]: 429,
    [FaultCode.NoAgents]: 503,
    [FaultCode.NoConfiguration]: 503,
    [FaultCode.Draining]: 503,
    [FaultCode.StoreUnavailable]: 503,
    [FaultCode.IssuerLost]: 503,
    [FaultCode.IssuerFenced]: 503,
    [FaultCode.DeadlineExceeded]: 504,
    [FaultCode.Timeout]: 504,
};

/** HTTP status of a fault code. */
export function statusOf(code: FaultCode): ContentfulStatusCode {
    return STATUS[code] ?? 500;
}
