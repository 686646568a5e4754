import type { EndpointReport } from "./EndpointReport.js";

/** Poll for which a response is awaited. */
export interface SentPoll {
    /** Report of the incarnation that it was sent to. */
    readonly target: EndpointReport;
    /** Whether it was sent to an announced incarnation. */
    readonly announced: boolean;
    readonly fence: number;
    readonly sentAt: number;
}
