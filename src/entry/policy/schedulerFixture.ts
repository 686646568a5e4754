import { SeededRandom } from "../../common/SeededRandom.js";
import { Verdict } from "../../common/Verdict.js";
import type { Assignment } from "./Assignment.js";
import type { AttemptReport } from "./AttemptReport.js";
import type { Disposition } from "./Disposition.js";
import { FairScheduler } from "./FairScheduler.js";
import type { ScheduledJob } from "./ScheduledJob.js";
import type { SchedulerLimits } from "./SchedulerLimits.js";

const LIMITS: SchedulerLimits = {
    maxQueuedTasks: 20_000,
    maxTaskMs: 60_000,
    reservedShare: 0.25,
    team: name => name === "unknown" ? undefined : { weight: name === "heavy" ? 3 : 1, maxTasks: 5000 },
};

function ids(count: number): string[] {
    return Array.from({ length: count }, (_, index) => `a${index}`);
}

function newScheduler(agents: number, slots: number, limits = LIMITS): FairScheduler {
    const scheduler = new FairScheduler(new SeededRandom(1));
    scheduler.configure(limits);
    for (const id of ids(agents)) {
        scheduler.addAgent({ id, worker: id, rack: "r", failureDomain: "d", slots });
        scheduler.addCredits(id, slots);
    }
    return scheduler;
}

interface JobOptions {
    readonly sizes?: readonly number[];
    readonly team?: string;
    readonly agents?: readonly string[];
    readonly at?: number;
    readonly deadlineAt?: number;
    readonly repeatable?: boolean;
}

function jobOf(job: string, options: JobOptions = {}): ScheduledJob {
    const { sizes = [50], team = "t", agents = ids(64), at = 0, deadlineAt = 1e7, repeatable = false } = options;
    const tasks = sizes.map((declaredMs, task) => {
        return { job, task, attempt: 1, team, declaredMs, repeatable, enqueuedAt: at, deadlineAt };
    });
    return { job, team, deadlineAt, agents: new Set(agents), tasks };
}

function reportOf({ task, agent }: Assignment, changes: Partial<AttemptReport> = {}): AttemptReport {
    const base = { job: task.job, task: task.task, attempt: task.attempt, agent, verdict: Verdict.Ran, ok: true };
    return { ...base, runMs: task.declaredMs ?? 100, countsForHealth: true, ...changes };
}

function assignAll(scheduler: FairScheduler, now: number): Assignment[] {
    const all: Assignment[] = [];
    for (let next = scheduler.assign(now); next !== undefined; next = scheduler.assign(now)) {
        all.push(next);
    }
    return all;
}

function finish(
    scheduler: FairScheduler,
    started: Assignment,
    now: number,
    changes: Partial<AttemptReport> = {},
): Disposition {
    const disposition = scheduler.report(reportOf(started, changes), now);
    scheduler.addCredits(started.agent, 1);
    return disposition;
}

/** Creates schedulers, jobs and reports for the tests of `FairScheduler`. */
export const schedulerFixture = { ids, newScheduler, jobOf, assignAll, finish };
