import { Fault } from "../../common/Fault.js";
import { FaultCode } from "../../common/FaultCode.js";
import { Verdict } from "../../common/Verdict.js";
import type { Admission } from "./Admission.js";
import type { Demand } from "./Demand.js";
import type { ScheduledJob } from "./ScheduledJob.js";
import type { SchedulerLimits } from "./SchedulerLimits.js";
import { ServiceRate } from "./ServiceRate.js";

/** Part of the time to the deadline that the expected wait and run may use; estimates err to both sides. */
const DEADLINE_SHARE = 0.8;
/** Longest expected wait in a burst. */
const MAX_BURST_WAIT_MS = 3000;
/**
 * Longest expected wait in lasting overload. At 70% base load a backlog of W drains in W / 0.3, so 800 ms returns to
 * normal within 3 s.
 */
const MAX_STANDING_WAIT_MS = 1500;
/** Overload is lasting when the expected wait has stayed above half of its bound for this time. */
const STANDING_AFTER_MS = 2000;
/** A caller with a distant deadline prefers waiting for this part of the time to it over a refusal. */
const PATIENCE_SHARE = 0.15;
/** Jobs of less work than this part of the time to the deadline delay others too little to be refused for it. */
const TINY_SHARE = 0.001;
const MIN_RATE_PER_MS = 1e-6;
const MIN_RETRY_AFTER_MS = 50;
const NO_AGENTS_RETRY_AFTER_MS = 1000;

/** Compares the expected wait, which is queued work divided by the service rate, with the deadline. */
export class ExpectedWaitAdmission implements Admission {
    private readonly rate = new ServiceRate();
    private lastCalmAt = 0;

    public refuse(
        job: ScheduledJob,
        demand: Demand,
        limits: SchedulerLimits | undefined,
        now: number,
    ): Fault | undefined {
        if (limits === undefined) {
            return refusal(FaultCode.NoConfiguration, "the service has no configuration here");
        }
        return neverRunnable(job, demand, limits, now)
            ?? this.overQuota(job, demand, limits)
            ?? noAgents(demand)
            ?? this.tooLate(job, demand, limits, now);
    }

    public finished(workMs: number, slots: number, backlogged: boolean, now: number): void {
        this.rate.finished(workMs, slots, backlogged, now);
    }

    private overQuota(job: ScheduledJob, demand: Demand, limits: SchedulerLimits): Fault | undefined {
        const quota = limits.team(job.team)?.maxTasks ?? 0;
        const excess = demand.teamTasks + job.tasks.length - quota;
        if (excess <= 0) {
            return undefined;
        }
        const message = `team ${job.team} has ${demand.teamTasks} of ${quota} tasks queued and running`;
        const shareOfWork = demand.teamQueuedMs * excess / Math.max(1, demand.teamTasks);
        return refusal(FaultCode.QuotaExceeded, message, this.waitMs(shareOfWork, demand, demand.teamShare));
    }

    private tooLate(job: ScheduledJob, demand: Demand, limits: SchedulerLimits, now: number): Fault | undefined {
        const wait = this.expectedWaitMs(demand, now);
        if (demand.queued + job.tasks.length > limits.maxQueuedTasks) {
            return refusal(FaultCode.Overloaded, `the queue is limited to ${limits.maxQueuedTasks} tasks`, wait / 2);
        }
        const run = Math.max(demand.longestMs, this.waitMs(demand.jobMs, demand, demand.teamShare));
        const lateBy = wait + run - (job.deadlineAt - now) * DEADLINE_SHARE;
        if (wait > 0 && lateBy > 0) {
            const message = `expected wait ${Math.round(wait)} ms exceeds the deadline`;
            return refusal(FaultCode.Overloaded, message, Math.min(wait, lateBy));
        }
        const delayMs = this.waitMs(demand.jobMs, demand, demand.teamShare);
        const isTiny = delayMs < (job.deadlineAt - now) * TINY_SHARE;
        if (delayMs > demand.teamSlackMs && !isTiny) {
            const message = `${Math.round(delayMs)} ms of work would make an admitted job of the team late`;
            return refusal(FaultCode.Overloaded, message, delayMs);
        }
        const standing = now - this.lastCalmAt > STANDING_AFTER_MS;
        const patience = (job.deadlineAt - now) * PATIENCE_SHARE;
        const bound = Math.max(patience, standing ? MAX_STANDING_WAIT_MS : MAX_BURST_WAIT_MS);
        return wait <= bound
            ? undefined
            : refusal(
                FaultCode.Overloaded,
                `expected wait ${Math.round(wait)} ms exceeds ${Math.round(bound)} ms`,
                wait - bound,
            );
    }

    /**
     * The job waits for the part of its team's backlog that goes before it, at the team's share of service, and never
     * longer than for the whole backlog.
     */
    private expectedWaitMs(demand: Demand, now: number): number {
        const total = this.waitMs(demand.queuedMs, demand, 1);
        if (total < MAX_STANDING_WAIT_MS / 2) {
            this.lastCalmAt = now;
        }
        const before = Math.max(0, demand.teamBeforeMs - demand.teamClaimMs);
        return Math.min(total, this.waitMs(before, demand, demand.teamShare));
    }

    private waitMs(workMs: number, demand: Demand, share: number): number {
        return workMs / Math.max(MIN_RATE_PER_MS, this.rate.perMs(demand.slots) * share);
    }
}

function neverRunnable(
    job: ScheduledJob,
    demand: Demand,
    limits: SchedulerLimits,
    now: number,
): Fault | undefined {
    const team = limits.team(job.team);
    const left = job.deadlineAt - now;
    const tooLong = job.tasks.find(task => (task.declaredMs ?? 0) > limits.maxTaskMs);
    if (team === undefined) {
        return refusal(FaultCode.NeverRunnable, `team ${job.team} is not configured`);
    }
    if (job.tasks.length > Math.min(team.maxTasks, limits.maxQueuedTasks)) {
        const most = Math.min(team.maxTasks, limits.maxQueuedTasks);
        return refusal(FaultCode.NeverRunnable, `${job.tasks.length} tasks exceed the bound of ${most}`);
    }
    if (tooLong !== undefined) {
        const path = `tasks[${tooLong.task}].sizeMs`;
        return refusal(FaultCode.NeverRunnable, `declared size exceeds ${limits.maxTaskMs} ms`, undefined, path);
    }
    return left <= 0 || left < demand.shortestObservedMs
        ? refusal(FaultCode.NeverRunnable, `deadline of ${left} ms is shorter than any observed run time`)
        : undefined;
}

function noAgents(demand: Demand): Fault | undefined {
    return demand.agents > 0
        ? undefined
        : refusal(FaultCode.NoAgents, "no agent of the ticket accepts work", NO_AGENTS_RETRY_AFTER_MS);
}

function refusal(code: FaultCode, message: string, retryAfterMs?: number, path?: string): Fault {
    const retry = retryAfterMs === undefined ? undefined : Math.max(MIN_RETRY_AFTER_MS, Math.ceil(retryAfterMs));
    return new Fault(code, message, Verdict.NotRun, retry, path);
}
