import type { EndpointReport } from "./EndpointReport.js";
import { isSameLife } from "./isSameLife.js";

/** Whether `report` is of an earlier life than `known`, or of the same life and not later than `known`. */
export function isOlderReport(report: EndpointReport, known: EndpointReport): boolean {
    if (isSameLife(report, known)) {
        return report.sequence <= known.sequence;
    }
    return report.life.bornMs < known.life.bornMs;
}
