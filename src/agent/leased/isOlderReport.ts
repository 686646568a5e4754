import type { EndpointReport } from "./EndpointReport.js";
import { isSameIncarnation } from "./isSameIncarnation.js";

/** Whether `report` is of an earlier life than `known`, or of the same life and not later than `known`. */
export function isOlderReport(report: EndpointReport, known: EndpointReport): boolean {
    if (isSameIncarnation(report, known)) {
        return report.sequence <= known.sequence;
    }
    return report.life.bornMs < known.life.bornMs;
}
