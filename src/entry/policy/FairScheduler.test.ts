import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { FaultCode } from "../../common/FaultCode.js";
import { Verdict } from "../../common/Verdict.js";
import type { Assignment } from "./Assignment.js";
import { schedulerFixture } from "./schedulerFixture.js";

const { newScheduler, jobOf, assignAll, finish } = schedulerFixture;

describe("FairScheduler", () => {
    describe("admission", () => {
        it("refuses a job of an unknown team, over the task limit or with too little time as never runnable", () => {
            const scheduler = newScheduler(1, 1);
            const many = Array.from({ length: 5001 }, () => 1);
            const bad = [{ team: "unknown" }, { sizes: many }, { sizes: [60_001] }, { deadlineAt: 0 }];
            bad.forEach(options => {
                assert.equal(scheduler.admit(jobOf("j", options), 0)?.code, FaultCode.NeverRunnable);
            });
            assert.equal(scheduler.queued, 0);
        });

        it("refuses a job that cannot finish by its deadline, with a time after which to retry", () => {
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

        it("keeps slots free of long tasks, also when running tasks exceed the limit of their class", () => {
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

        it("prefers the faster agent even after a straggler ran there", () => {
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

    describe("fair share", () => {
        it("gives each team with queued tasks at least 90% of its share by weight", () => {
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
});
