import type { EndpointReport } from "./EndpointReport.js";

/** Whether two reports are of the same incarnation of an endpoint. */
export function isSameIncarnation(a: EndpointReport, b: EndpointReport): boolean {
    return a.life.id === b.life.id && a.life.bornMs === b.life.bornMs;
}
