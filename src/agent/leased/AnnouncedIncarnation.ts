import type { EndpointReport } from "./EndpointReport.js";
import { isSameIncarnation } from "./isSameIncarnation.js";

/**
 * Incarnation that a heartbeat has named beside the known one. A heartbeat may have been delayed until its sender had
 * crashed, so only a response shows which of the two has ended.
 */
export class AnnouncedIncarnation {
    private announced: { readonly report: EndpointReport; readonly fence: number; } | undefined;

    /** Last heartbeat of the announced incarnation; undefined while there is none. */
    public get report(): EndpointReport | undefined {
        return this.announced?.report;
    }

    /** Fence from which on a call to it makes earlier calls to the known incarnation ineffective there. */
    public get fence(): number {
        return this.announced?.fence ?? Number.POSITIVE_INFINITY;
    }

    /** Whether `report` is of the announced incarnation. */
    public is(report: EndpointReport): boolean {
        return this.announced !== undefined && isSameIncarnation(report, this.announced.report);
    }

    public set(report: EndpointReport, fence: number): void {
        this.announced = { report, fence };
    }

    /** Updates the report of the announced incarnation, unless `report` is the older one. */
    public update(report: EndpointReport): void {
        if (this.announced !== undefined && report.sequence > this.announced.report.sequence) {
            this.announced = { report, fence: this.announced.fence };
        }
    }

    /** Forgets the announcement and returns its report. */
    public take(): EndpointReport | undefined {
        const report = this.announced?.report;
        this.announced = undefined;
        return report;
    }
}
