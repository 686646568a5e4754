import { Fault } from "../../common/Fault.js";
import { FaultCode } from "../../common/FaultCode.js";
import type { ScheduledJob } from "./ScheduledJob.js";
import type { SchedulerLimits } from "./SchedulerLimits.js";

/** Admission of the comparison schedulers: refuses a job that would exceed the bound of the queue. */
export function overflow(queued: number, job: ScheduledJob, limits: SchedulerLimits | undefined): Fault | undefined {
    const limit = limits?.maxQueuedTasks ?? 0;
    return queued + job.tasks.length > limit
        ? new Fault(FaultCode.Overloaded, `queue is limited to ${limit} tasks`)
        : undefined;
}
