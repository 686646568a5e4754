import { Fault } from "../../common/Fault.js";
import { FaultCode } from "../../common/FaultCode.js";
import { Verdict } from "../../common/Verdict.js";
import type { Admission } from "./Admission.js";
import type { AdmissionContext } from "./AdmissionContext.js";
import type { ScheduledJob } from "./ScheduledJob.js";
import type { SchedulerLimits } from "./SchedulerLimits.js";
import { ServiceRate } from "./ServiceRate.js";

/**
 * Share of the time to the deadline that expected wait and run may use together, because estimates err in both
 * directions.
 */
const DEADLINE_SHARE = 0.8;
/** Largest expected wait that is admitted during a burst. */
const MAX_BURST_WAIT_MS = 3000;
/**
 * Largest expected wait that is admitted during sustained overload. At a base load of 70% a backlog of W takes W / 0.3
 * to drain, so a backlog of 800 ms drains within 3 s.
 */
const MAX_SUSTAINED_WAIT_MS = 1500;
/**
 * Overload counts as sustained when the wait for the whole queue has stayed above half of the sustained limit this
 * long.
 */
const SUSTAINED_AFTER_MS = 2000;
/**
 * Share of the time to the deadline that may be spent waiting in any case: callers with a distant deadline prefer that
 * to a refusal.
 */
const TOLERATED_WAIT_SHARE = 0.15;
/** A job that delays others by less than this share of the time to its deadline is not refused for the delay. */
const NEGLIGIBLE_SHARE = 0.001;
const MIN_RATE_PER_MS = 1e-6;
const MIN_RETRY_AFTER_MS = 50;
const NO_AGENTS_RETRY_AFTER_MS = 1000;

/**
 * Admits a job if its expected wait, which is queued work divided by the service rate, fits its deadline and the
 * limits.
 */
export class ExpectedWaitAdmission implements Admission {
    private readonly rate = new ServiceRate();
    private lastLowWaitAt = 0;

    public refuse(
        job: ScheduledJob,
        context: AdmissionContext,
        limits: SchedulerLimits | undefined,
        now: number,
    ): Fault | undefined {
        if (limits === undefined) {
            return refusal(FaultCode.NoConfiguration, "the service has no configuration at this entry");
        }
        return neverRunnable(job, context, limits, now)
            ?? this.overQuota(job, context, limits)
            ?? noAgents(context)
            ?? this.overloaded(job, context, limits, now);
    }

    public recordFinished(workMs: number, slots: number, backlogged: boolean, now: number): void {
        this.rate.recordFinished(workMs, slots, backlogged, now);
    }

    private overQuota(job: ScheduledJob, context: AdmissionContext, limits: SchedulerLimits): Fault | undefined {
        const quota = limits.team(job.team)?.maxTasks ?? 0;
        const excess = context.teamTasks + job.tasks.length - quota;
        if (excess <= 0) {
            return undefined;
        }
        const message = `team ${job.team} has ${context.teamTasks} of ${quota} tasks queued and running`;
        const shareOfWork = context.teamQueuedMs * excess / Math.max(1, context.teamTasks);
        return refusal(FaultCode.QuotaExceeded, message, this.waitMs(shareOfWork, context, context.teamShare));
    }

    private overloaded(
        job: ScheduledJob,
        context: AdmissionContext,
        limits: SchedulerLimits,
        now: number,
    ): Fault | undefined {
        const wait = this.expectedWaitMs(context, now);
        if (context.queued + job.tasks.length > limits.maxQueuedTasks) {
            return refusal(FaultCode.Overloaded, `the queue is limited to ${limits.maxQueuedTasks} tasks`, wait / 2);
        }
        const run = Math.max(context.longestTaskMs, this.waitMs(context.jobMs, context, context.teamShare));
        const lateBy = wait + run - (job.deadlineAt - now) * DEADLINE_SHARE;
        if (wait > 0 && lateBy > 0) {
            const message = `expected wait ${Math.round(wait)} ms exceeds the deadline`;
            return refusal(FaultCode.Overloaded, message, Math.min(wait, lateBy));
        }
        const delayMs = this.waitMs(context.jobMs, context, context.teamShare);
        const isNegligible = delayMs < (job.deadlineAt - now) * NEGLIGIBLE_SHARE;
        if (delayMs > context.teamSlackMs && !isNegligible) {
            const message = `${Math.round(delayMs)} ms of work would make an admitted job of the team late`;
            return refusal(FaultCode.Overloaded, message, delayMs);
        }
        const isSustained = now - this.lastLowWaitAt > SUSTAINED_AFTER_MS;
        const tolerated = (job.deadlineAt - now) * TOLERATED_WAIT_SHARE;
        const bound = Math.max(tolerated, isSustained ? MAX_SUSTAINED_WAIT_MS : MAX_BURST_WAIT_MS);
        return wait <= bound
            ? undefined
            : refusal(
                FaultCode.Overloaded,
                `expected wait ${Math.round(wait)} ms exceeds ${Math.round(bound)} ms`,
                wait - bound,
            );
    }

    /**
     * Expected wait: the part of the team's queue that goes before the job, at the team's share of the service rate,
     * but at most the whole queue at the full rate.
     */
    private expectedWaitMs(context: AdmissionContext, now: number): number {
        const total = this.waitMs(context.queuedMs, context, 1);
        if (total < MAX_SUSTAINED_WAIT_MS / 2) {
            this.lastLowWaitAt = now;
        }
        const before = Math.max(0, context.teamBeforeMs - context.teamLagMs);
        return Math.min(total, this.waitMs(before, context, context.teamShare));
    }

    private waitMs(workMs: number, context: AdmissionContext, share: number): number {
        return workMs / Math.max(MIN_RATE_PER_MS, this.rate.perMs(context.slots) * share);
    }
}

function neverRunnable(
    job: ScheduledJob,
    context: AdmissionContext,
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
    return left <= 0 || left < context.shortestObservedMs
        ? refusal(FaultCode.NeverRunnable, `deadline of ${left} ms is shorter than any observed run time`)
        : undefined;
}

function noAgents(context: AdmissionContext): Fault | undefined {
    return context.agents > 0
        ? undefined
        : refusal(FaultCode.NoAgents, "no agent of the ticket accepts work", NO_AGENTS_RETRY_AFTER_MS);
}

function refusal(code: FaultCode, message: string, retryAfterMs?: number, path?: string): Fault {
    const retry = retryAfterMs === undefined ? undefined : Math.max(MIN_RETRY_AFTER_MS, Math.ceil(retryAfterMs));
    return new Fault(code, message, Verdict.NotRun, retry, path);
}
