import type { EndpointReport } from "./EndpointReport.js";
import { isSameIncarnation } from "./isSameIncarnation.js";

/** Whether `report` is of an earlier incarnation than `known`, or of the same one and not more recent than `known`. */
export function isOlderReport(report: EndpointReport, known: EndpointReport): boolean {
    if (isSameIncarnation(report, known)) {
        return report.sequence <= known.sequence;
    }
    return report.life.bornMs < known.life.bornMs;
}
