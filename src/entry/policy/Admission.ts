import type { Fault } from "../../common/Fault.js";
import type { AdmissionContext } from "./AdmissionContext.js";
import type { ScheduledJob } from "./ScheduledJob.js";
import type { SchedulerLimits } from "./SchedulerLimits.js";

/** Admission control: decides whether a job enters the queue. */
export interface Admission {
    /** Returns the refusal, or undefined to admit the job. */
    refuse(
        job: ScheduledJob,
        context: AdmissionContext,
        limits: SchedulerLimits | undefined,
        now: number,
    ): Fault | undefined;
    /** Records finished work, and whether tasks were queued at that time, to learn the service rate. */
    recordFinished(workMs: number, slots: number, backlogged: boolean, now: number): void;
}
