import type { Fault } from "../../common/Fault.js";
import type { Demand } from "./Demand.js";
import type { ScheduledJob } from "./ScheduledJob.js";
import type { SchedulerLimits } from "./SchedulerLimits.js";

/** Decides whether a job enters the queue. */
export interface Admission {
    /** Returns the refusal, or undefined to admit the job. */
    refuse(job: ScheduledJob, demand: Demand, limits: SchedulerLimits | undefined, now: number): Fault | undefined;
    /** Records finished work and whether tasks were queued at that time, to learn the service rate. */
    finished(workMs: number, slots: number, backlogged: boolean, now: number): void;
}
