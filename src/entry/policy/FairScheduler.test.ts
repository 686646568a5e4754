import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { FaultCode } from "../../common/FaultCode.js";
import { SeededRandom } from "../../common/SeededRandom.js";
import { Verdict } from "../../common/Verdict.js";
import type { Assignment } from "./Assignment.js";
import type { AttemptReport } from "./AttemptReport.js";
import { Disposition } from "./Disposition.js";
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

function finish(scheduler: FairScheduler, started: Assignment, now: number, changes: Partial<AttemptReport> = {}) {
    const disposition = scheduler.report(reportOf(started, changes), now);
    scheduler.addCredits(started.agent, 1);
    return disposition;
}

describe("FairScheduler", () => {
    describe("admission", () => {
        it("refuses a job of an unknown team, over the task bound or with too little time, as never runnable", () => {
            const scheduler = newScheduler(1, 1);
            const many = Array.from({ length: 5001 }, () => 1);
            const bad = [{ team: "unknown" }, { sizes: many }, { sizes: [60_001] }, { deadlineAt: 0 }];
            bad.forEach(options => {
                assert.equal(scheduler.admit(jobOf("j", options), 0)?.code, FaultCode.NeverRunnable);
            });
            assert.equal(scheduler.queued, 0);
        });

        it("refuses what cannot finish by its deadline, with a time for another try", () => {
            const scheduler = newScheduler(1, 1);
            scheduler.admit(jobOf("first", { sizes: [1000, 1000] }), 0);
            const fault = scheduler.admit(jobOf("late", { sizes: [1000, 1000], deadlineAt: 3000, at: 0 }), 0);
            assert.equal(fault?.code, FaultCode.Overloaded);
            assert.equal(fault.verdict, Verdict.NotRun);
            assert.ok((fault.retryAfterMs ?? 0) > 0);
        });

        it("refuses a job over the team's quota and one without live agents", () => {
            const scheduler = newScheduler(64, 64);
            const small = Array.from({ length: 3000 }, () => 1);
            assert.equal(scheduler.admit(jobOf("one", { sizes: small }), 0), undefined);
            assert.equal(scheduler.admit(jobOf("two", { sizes: small }), 0)?.code, FaultCode.QuotaExceeded);
            assert.equal(scheduler.admit(jobOf("gone", { agents: ["x"] }), 0)?.code, FaultCode.NoAgents);
        });
    });

    describe("order and placement", () => {
        it("starts a small job before the rest of a job of 400 tasks, and ages the large one", () => {
            const scheduler = newScheduler(1, 1);
            scheduler.admit(jobOf("large", { sizes: Array.from({ length: 400 }, () => 50) }), 0);
            scheduler.admit(jobOf("small", { at: 10 }), 10);
            const first = scheduler.assign(10)!;
            assert.equal(first.task.job, "small");
            finish(scheduler, first, 60);
            scheduler.admit(jobOf("young", { at: 20_000 }), 20_000);
            assert.equal(scheduler.assign(20_000)?.task.job, "large");
        });

        it("does not let a job whose agent is busy block jobs for other agents", () => {
            const scheduler = newScheduler(2, 1);
            scheduler.admit(jobOf("only0", { sizes: [50, 50], agents: ["a0"] }), 0);
            scheduler.admit(jobOf("any", { sizes: [50, 50, 50] }), 0);
            const started = assignAll(scheduler, 0);
            assert.deepEqual(started.map(next => [next.task.job, next.agent]), [["only0", "a0"], ["any", "a1"]]);
        });

        it("keeps slots free of long tasks, also when running tasks outlive their class", () => {
            const scheduler = newScheduler(1, 8);
            scheduler.admit(jobOf("long", { sizes: Array.from({ length: 20 }, () => 2000) }), 0);
            assert.equal(assignAll(scheduler, 0).length, 6);
            const other = newScheduler(1, 8);
            other.admit(jobOf("wrong", { sizes: Array.from({ length: 6 }, () => 50) }), 0);
            assert.equal(assignAll(other, 0).length, 6);
            other.admit(jobOf("long", { sizes: [2000], at: 1100 }), 1100);
            assert.equal(other.assign(1100), undefined);
            other.admit(jobOf("short", { at: 1100 }), 1100);
            assert.equal(other.assign(1100)?.task.job, "short");
        });

        it("prefers the faster agent although a straggler ran there", () => {
            const scheduler = newScheduler(2, 1);
            for (let round = 0; round < 40; round += 1) {
                scheduler.admit(jobOf(`j${round}`, { sizes: [100, 100], at: round }), round);
                assignAll(scheduler, round).forEach(next => {
                    const runMs = next.agent === "a1" ? 50 : 150;
                    finish(scheduler, next, round, { runMs: round === 39 && next.agent === "a1" ? 5000 : runMs });
                });
            }
            scheduler.admit(jobOf("last", { at: 50 }), 50);
            assert.equal(scheduler.assign(50)?.agent, "a1");
        });
    });

    describe("retry", () => {
        it("bounds retries after failures to a tenth of starts and the first burst", () => {
            const scheduler = newScheduler(4, 8);
            let firsts = 0;
            let retries = 0;
            for (let now = 0; now < 20_000; now += 10) {
                scheduler.admit(jobOf(`j${now}`, { repeatable: true, at: now }), now);
                for (const next of assignAll(scheduler, now)) {
                    firsts += next.task.attempt === 1 ? 1 : 0;
                    retries += next.task.attempt === 1 ? 0 : 1;
                    finish(scheduler, next, now, { ok: false });
                }
            }
            assert.equal(firsts, 2000);
            assert.ok(retries > 100 && retries <= firsts / 10 + 10, `${retries} retries`);
        });

        it("neither uses the budget nor loops hot when agents refuse for reasons of their own", () => {
            const scheduler = newScheduler(1, 8);
            scheduler.admit(jobOf("j", { sizes: Array.from({ length: 100 }, () => 50) }), 0);
            let starts = 0;
            for (let now = 0; now < 1000; now += 1) {
                for (const next of assignAll(scheduler, now)) {
                    starts += 1;
                    const refusal = { verdict: Verdict.NotRun, ok: false, runMs: 0, countsForHealth: false };
                    assert.equal(finish(scheduler, next, now, refusal), Disposition.Requeued);
                }
            }
            assert.ok(starts < 150, `${starts} starts`);
            assert.equal(scheduler.queued, 100);
        });

        it("never repeats a task that may have run and is not repeatable", () => {
            const scheduler = newScheduler(1, 1);
            scheduler.admit(jobOf("j"), 0);
            const next = scheduler.assign(0)!;
            assert.equal(finish(scheduler, next, 9, { verdict: Verdict.MayHaveRun, ok: false }), Disposition.Final);
        });
    });

    describe("health", () => {
        it("gives an agent that fails everything fewer than 10 tasks before its ejection and under 1% after", () => {
            const scheduler = newScheduler(11, 8);
            const open: { next: Assignment; endAt: number; }[] = [];
            let [before, after, total] = [0, 0, 0];
            for (let now = 0; now < 30_000; now += 10) {
                scheduler.admit(jobOf(`j${now}`, { sizes: [100, 100, 100, 100, 100, 100], at: now }), now);
                for (let item = open[0]; item !== undefined && item.endAt <= now; item = open[0]) {
                    open.shift();
                    finish(scheduler, item.next, now, { ok: item.next.agent !== "a0" });
                }
                const ejected = scheduler.snapshot().agents[0]?.ejected === true;
                for (const next of assignAll(scheduler, now)) {
                    total += 1;
                    before += next.agent === "a0" && !ejected ? 1 : 0;
                    after += next.agent === "a0" && ejected ? 1 : 0;
                    open.push({ next, endAt: now + 100 });
                }
            }
            assert.ok(before > 0 && before < 10, `${before} before the ejection`);
            assert.ok(after > 0 && after < total / 100, `${after} of ${total} after it`);
        });

        it("ejects an agent that swallows its tasks, and takes it back after a good probe", () => {
            const scheduler = newScheduler(4, 2);
            scheduler.admit(jobOf("j", { sizes: Array.from({ length: 8 }, () => 50) }), 0);
            const [lost, good] = [assignAll(scheduler, 0), [] as Assignment[]];
            lost.filter(next => next.agent !== "a0").forEach(next => finish(scheduler, next, 50));
            scheduler.assign(500);
            assert.equal(scheduler.snapshot().agents[0]?.ejected, true);
            lost.filter(next => next.agent === "a0").forEach(next => finish(scheduler, next, 600, { ok: false }));
            scheduler.admit(jobOf("probe", { sizes: Array.from({ length: 8 }, () => 50), at: 1500 }), 1500);
            good.push(...assignAll(scheduler, 1500).filter(next => next.agent === "a0"));
            assert.equal(good.length, 1);
            finish(scheduler, good[0]!, 1550);
            assert.equal(scheduler.snapshot().agents[0]?.ejected, false);
        });

        it("ejects at most 30% of the agents when the whole service fails", () => {
            const scheduler = newScheduler(11, 8);
            for (let now = 0; now < 5000; now += 10) {
                scheduler.admit(jobOf(`j${now}`, { sizes: [50, 50, 50], at: now }), now);
                assignAll(scheduler, now).forEach(next => finish(scheduler, next, now, { ok: false }));
                assert.ok(scheduler.snapshot().agents.filter(agent => agent.ejected).length <= 3);
            }
            assert.equal(scheduler.queued, 0);
        });
    });

    describe("fair share", () => {
        it("gives each backlogged team at least 90% of its share by weight", () => {
            const scheduler = newScheduler(2, 4);
            const used: Record<string, number> = { heavy: 0, light: 0, many: 0 };
            const slots = Array.from({ length: 8 }, () => [] as Assignment[]);
            let jobs = 0;
            for (let now = 0; now < 60_000; now += 100) {
                for (const [team, count] of [["heavy", 4], ["light", 2], ["many", 40]] as const) {
                    const sizes = Array.from({ length: count }, () => 100);
                    scheduler.admit(jobOf(`j${jobs++}`, { team, sizes, at: now }), now);
                }
                slots.forEach(slot => slot.splice(0).forEach(next => finish(scheduler, next, now)));
                assignAll(scheduler, now).forEach((next, index) => {
                    slots[index]?.push(next);
                    used[next.task.team] = (used[next.task.team] ?? 0) + (now >= 10_000 ? 1 : 0);
                });
            }
            const total = 500 * 8;
            assert.ok(used["heavy"]! >= 0.9 * Math.min(2000, total * 0.6), JSON.stringify(used));
            assert.ok(used["light"]! >= 0.9 * total * 0.2, JSON.stringify(used));
            assert.ok(used["many"]! >= 0.9 * total * 0.2, JSON.stringify(used));
        });

        it("starts every task within a bounded number of completions under a stream of smaller jobs", () => {
            const scheduler = newScheduler(1, 2);
            scheduler.admit(jobOf("large", { sizes: Array.from({ length: 40 }, () => 90) }), 0);
            let left = 40;
            for (let now = 0; now < 60_000 && left > 0; now += 50) {
                scheduler.admit(jobOf(`s${now}`, { sizes: [10, 10], at: now }), now);
                for (const next of assignAll(scheduler, now)) {
                    left -= next.task.job === "large" ? 1 : 0;
                    finish(scheduler, next, now, { runMs: 50 });
                    scheduler.addCredits(next.agent, -1);
                }
                scheduler.addCredits("a0", 2 - scheduler.freeCredits("a0"));
            }
            assert.equal(left, 0);
        });
    });

    describe("bookkeeping", () => {
        const step = fc.record({ kind: fc.nat(8), pick: fc.nat(1000), ms: fc.integer({ min: 1, max: 400 }) });

        it("ends every task exactly once and never over-uses credits", () => {
            fc.assert(
                fc.property(fc.array(step, { maxLength: 150 }), steps => runSteps(steps)),
                { seed: 7, numRuns: 200 },
            );
        });
    });
});

/** Applies random calls, then drains the scheduler, and checks each task's life and the credits. */
function runSteps(steps: readonly { readonly kind: number; readonly pick: number; readonly ms: number; }[]): void {
    const scheduler = newScheduler(3, 2);
    const credits = new Map(ids(3).map(id => [id, 2]));
    const open: Assignment[] = [];
    const alive = new Set<string>();
    let now = 0;
    const end = (job: string, task: number) => assert.ok(alive.delete(`${job}/${task}`), `${job}/${task} ended twice`);
    const place = () => {
        for (const next of assignAll(scheduler, now)) {
            const left = credits.get(next.agent)! - 1;
            assert.ok(left >= 0, "credit over-used");
            credits.set(next.agent, left);
            assert.ok(!open.some(other => other.task.job === next.task.job && other.task.task === next.task.task));
            assert.ok(alive.has(`${next.task.job}/${next.task.task}`));
            open.push(next);
        }
    };
    const close = (next: Assignment, kind: number) => {
        const endings = [{}, { ok: false }, {
            verdict: Verdict.NotRun,
            ok: false,
            runMs: 0,
            countsForHealth: kind > 5,
        }];
        credits.set(next.agent, credits.get(next.agent)! + 1);
        if (finish(scheduler, next, now, endings[kind % 3]) === Disposition.Final) {
            end(next.task.job, next.task.task);
        }
    };
    for (const [index, { kind, pick, ms }] of steps.entries()) {
        now += ms;
        if (kind <= 2) {
            const sizes = Array.from({ length: 1 + pick % 7 }, (_, task) => ms * (1 + task * kind));
            const agents = pick % 3 === 0 ? ["a0"] : ids(3);
            const options = { sizes, agents, at: now, deadlineAt: now + 5 * pick, repeatable: pick % 2 === 0 };
            if (scheduler.admit(jobOf(`j${index}`, options), now) === undefined) {
                sizes.forEach((_, task) => alive.add(`j${index}/${task}`));
            }
        }
        else if (kind <= 6) {
            open.splice(pick % Math.max(1, open.length), 1).forEach(next => close(next, pick % 9));
        }
        else if (kind === 7) {
            const job = `j${pick % Math.max(1, index)}`;
            scheduler.withdraw(job, pick % 2 === 0 ? undefined : 0).forEach(task => end(job, task));
        }
        else {
            scheduler.expire(now).forEach(task => end(task.job, task.task));
        }
        place();
        credits.forEach((count, id) => assert.equal(scheduler.freeCredits(id), count));
        assert.equal(scheduler.running, open.length);
        assert.equal(scheduler.queued + scheduler.running, alive.size);
    }
    now += 1e7;
    open.splice(0).forEach(next => close(next, 0));
    scheduler.expire(now).forEach(task => end(task.job, task.task));
    assert.equal(alive.size, 0);
    assert.equal(scheduler.queued, 0);
    assert.equal(scheduler.nextWakeAt(now), undefined);
}
