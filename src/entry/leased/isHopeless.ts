import type { EndpointCondition } from "../../common/leased/EndpointCondition.js";
import { fits } from "../../common/leased/fits.js";
import type { Step } from "../../common/leased/Step.js";
import type { LeasedJob } from "./LeasedJob.js";

/**
 * Whether a task of the job needs more than any of the known endpoints of its service has. Unknown, and so false, while no
 * endpoint of the service is known.
 */
export function isHopeless(job: LeasedJob, conditions: readonly (EndpointCondition | undefined)[]): boolean {
    const known = conditions.filter(condition => condition?.service === job.route.service);
    return known.length > 0 && job.order.steps.some(step => {
        return !known.some(condition => condition !== undefined && couldRun(step, condition));
    });
}

function couldRun(step: Step, condition: EndpointCondition): boolean {
    const labelled = step.requiredLabel === undefined || condition.labels.includes(step.requiredLabel);
    return labelled && fits(step.need, condition.capacity);
}
