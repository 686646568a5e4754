import type { EndpointStatus } from "../../common/leased/EndpointStatus.js";
import { fits } from "../../common/leased/fits.js";
import type { Step } from "../../common/leased/Step.js";
import type { LeasedJob } from "./LeasedJob.js";

/** What is known of an endpoint; nothing before its first report. */
interface KnownEndpoint {
    readonly current: EndpointStatus | undefined;
}

/**
 * Whether a task of the job needs more than any of the known endpoints of its service has. Unknown, and so false, while no
 * endpoint of the service is known.
 */
export function isHopeless(job: LeasedJob, agents: Iterable<KnownEndpoint>): boolean {
    return job.order.steps.some(step => isTooLarge(step, job.route.service, agents));
}

/** Looks at no more endpoints than it takes to find one that is large enough. */
function isTooLarge(step: Step, service: string, agents: Iterable<KnownEndpoint>): boolean {
    let known = false;
    for (const { current } of agents) {
        if (current?.service !== service) {
            continue;
        }
        if (couldRun(step, current)) {
            return false;
        }
        known = true;
    }
    return known;
}

function couldRun(step: Step, condition: EndpointStatus): boolean {
    const labelled = step.requiredLabel === undefined || condition.labels.includes(step.requiredLabel);
    return labelled && fits(step.need, condition.capacity);
}
