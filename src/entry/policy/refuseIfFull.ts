import { Fault } from "../../common/Fault.js";
import { FaultCode } from "../../common/FaultCode.js";
import type { ScheduledJob } from "./ScheduledJob.js";
import type { SchedulerLimits } from "./SchedulerLimits.js";

/** Admission control of the baseline schedulers: refuses a job that would exceed the limit of queued tasks. */
export function refuseIfFull(
    queued: number,
    job: ScheduledJob,
    limits: SchedulerLimits | undefined,
): Fault | undefined {
    const limit = limits?.maxQueuedTasks ?? 0;
    return queued + job.tasks.length > limit
        ? new Fault(
            FaultCode.Overloaded,
            `queue is limited to ${limit} tasks`,
        )
        : undefined;
}
