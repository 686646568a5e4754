import type { EndpointStatus } from "../../common/leased/EndpointStatus.js";
import { NO_RESOURCES } from "../../common/leased/NO_RESOURCES.js";
import type { EndpointSession } from "./EndpointSession.js";
import type { Runs } from "./Runs.js";

/** What entries are told of the endpoint; `open` is false once the agent takes no more orders. */
export function describeCondition(session: EndpointSession, runs: Runs, open: boolean): EndpointStatus {
    const { report, clockMs } = session;
    const sound = session.alive && clockMs !== undefined;
    return {
        service: report?.service ?? "",
        endpoint: report?.life.id ?? "",
        labels: report?.labels ?? [],
        capacity: report?.capacity ?? NO_RESOURCES,
        used: runs.used,
        accepting: open && report !== undefined && sound && !report.draining,
        slowness: runs.slownessValue,
        clockMs: clockMs ?? 0,
    };
}
