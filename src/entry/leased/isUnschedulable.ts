import type { EndpointStatus } from "../../common/leased/EndpointStatus.js";
import { fits } from "../../common/leased/fits.js";
import type { Step } from "../../common/leased/Step.js";
import type { LeasedJob } from "./LeasedJob.js";

/** Endpoint of an agent; its status is unknown until the first report. */
interface KnownEndpoint {
    readonly status: EndpointStatus | undefined;
}

/**
 * Whether a task of the job fits on none of the known endpoints of its service, even when they are idle: each is too
 * small or lacks the required label. False while no endpoint of the service is known, because it cannot be decided
 * then.
 */
export function isUnschedulable(job: LeasedJob, agents: Iterable<KnownEndpoint>): boolean {
    return job.submission.steps.some(step => fitsNowhere(step, job.route.service, agents));
}

/** Stops at the first endpoint that could run a task of the step. */
function fitsNowhere(step: Step, service: string, agents: Iterable<KnownEndpoint>): boolean {
    let known = false;
    for (const { status } of agents) {
        if (status?.service !== service) {
            continue;
        }
        if (couldRun(step, status)) {
            return false;
        }
        known = true;
    }
    return known;
}

function couldRun(step: Step, status: EndpointStatus): boolean {
    const hasLabel = step.requiredLabel === undefined || status.labels.includes(step.requiredLabel);
    return hasLabel && fits(step.need, status.capacity);
}
