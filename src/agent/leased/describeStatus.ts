import type { EndpointStatus } from "../../common/leased/EndpointStatus.js";
import { NO_RESOURCES } from "../../common/leased/NO_RESOURCES.js";
import type { EndpointRuns } from "./EndpointRuns.js";
import type { EndpointSession } from "./EndpointSession.js";

/** Describes the endpoint for entries; `open` is false once the agent accepts no more orders. */
export function describeStatus(session: EndpointSession, runs: EndpointRuns, open: boolean): EndpointStatus {
    const { report, clockMs } = session;
    const available = session.isAvailable && clockMs !== undefined;
    return {
        service: report?.service ?? "",
        endpoint: report?.life.id ?? "",
        incarnation: session.incarnation,
        labels: report?.labels ?? [],
        capacity: report?.capacity ?? NO_RESOURCES,
        used: runs.used,
        accepting: open && report !== undefined && available && !report.draining,
        slowness: runs.slowdownFactor,
        clockMs: clockMs ?? 0,
    };
}
