import type { EndpointReport } from "./EndpointReport.js";
import { isSameIncarnation } from "./isSameIncarnation.js";

/**
 * Whether a heartbeat is older than `known`, whose incarnation answers at present or not. Start times of incarnations are
 * compared only while it answers: the wall clock may have been set back before the next one began.
 */
export function isOlderReport(report: EndpointReport, known: EndpointReport, answers: boolean): boolean {
    if (isSameIncarnation(report, known)) {
        return report.sequence <= known.sequence;
    }
    return answers && report.life.bornMs < known.life.bornMs;
}
