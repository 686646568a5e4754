import type { EndpointReport } from "./EndpointReport.js";
import { isOlderReport } from "./isOlderReport.js";
import { isSameIncarnation } from "./isSameIncarnation.js";

/** Whether the current endpoint has deregistered, and the last report of one that has left. */
export class EndpointDeparture {
    private leaving = false;
    private departedReport: EndpointReport | undefined;

    /** Whether the endpoint has deregistered: it may go on for seconds, and its runs with it. */
    public get isLeaving(): boolean {
        return this.leaving;
    }

    /** Records the deregistration of the current endpoint. */
    public begin(): void {
        this.leaving = true;
    }

    /** Records that the current endpoint is not the one that has deregistered. */
    public cancel(): void {
        this.leaving = false;
    }

    /** Records that the endpoint with this last report is forgotten. */
    public complete(report: EndpointReport | undefined): void {
        this.departedReport = report;
        this.leaving = false;
    }

    /**
     * Whether a heartbeat says nothing new beside the last report `known`, whose incarnation answers at present or not.
     * A draining one of an endpoint that has deregistered was delayed, whereas a later ready one shows that the
     * deregistration was of an earlier incarnation.
     */
    public isOutdated(report: EndpointReport, known: EndpointReport | undefined, answers: boolean): boolean {
        if (known !== undefined && isOlderReport(report, known, answers)) {
            return true;
        }
        const left = this.leaving ? known : this.departedReport;
        const hasLeft = left !== undefined && isSameIncarnation(report, left);
        return hasLeft && (report.draining || report.sequence <= left.sequence);
    }
}
