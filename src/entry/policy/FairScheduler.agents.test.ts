import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Assignment } from "./Assignment.js";
import { schedulerFixture } from "./schedulerFixture.js";

const { newScheduler, jobOf, assignAll, finish, ids } = schedulerFixture;

function profileOf(id: string, slots: number) {
    return { id, worker: id, rack: "r", failureDomain: "d", slots };
}

describe("FairScheduler", () => {
    describe("agents", () => {
        it("starts nothing on a draining agent, but accepts the reports of its running tasks", () => {
            const scheduler = newScheduler(2, 2);
            scheduler.admit(jobOf("j", { sizes: [50, 50, 50, 50, 50, 50] }), 0);
            const running = assignAll(scheduler, 0);
            scheduler.drainAgent("a0");
            running.forEach(next => finish(scheduler, next, 50));
            const later = assignAll(scheduler, 50);
            assert.deepEqual(later.map(next => next.agent), ["a1", "a1"]);
            later.forEach(next => finish(scheduler, next, 100));
            assert.equal(scheduler.running, 0);
        });

        it("keeps attempts of a removed agent open until they are reported", () => {
            const scheduler = newScheduler(1, 2);
            scheduler.admit(jobOf("j", { sizes: [50, 50, 50] }), 0);
            const running = assignAll(scheduler, 0);
            scheduler.removeAgent("a0");
            assert.equal(scheduler.assign(10), undefined);
            assert.deepEqual([scheduler.running, scheduler.queued], [2, 1]);
            running.forEach(next => finish(scheduler, next, 20));
            assert.deepEqual([scheduler.running, scheduler.freeCredits("a0")], [0, 0]);
        });

        it("does not count reports from before an agent was removed for the agent that was added again", () => {
            const scheduler = newScheduler(1, 2);
            scheduler.admit(jobOf("j", { sizes: [50, 50, 50, 50] }), 0);
            const before = assignAll(scheduler, 0);
            scheduler.removeAgent("a0");
            scheduler.addAgent(profileOf("a0", 2));
            scheduler.addCredits("a0", 1);
            const after = assignAll(scheduler, 10);
            assert.equal(after.length, 1);
            before.forEach(next => finish(scheduler, next, 20));
            assert.equal(scheduler.snapshot().agents[0]?.running, 1);
            after.forEach(next => finish(scheduler, next, 30));
            assert.equal(scheduler.snapshot().agents[0]?.running, 0);
        });

        it("gives a slow agent the smallest task of a job, so that the job's longest task does not end late", () => {
            const scheduler = newScheduler(2, 1);
            for (let round = 0; round < 40; round += 1) {
                scheduler.admit(jobOf(`j${round}`, { sizes: [100, 100], at: round }), round);
                assignAll(scheduler, round).forEach(next => {
                    finish(scheduler, next, round, { runMs: next.agent === "a1" ? 50 : 200 });
                });
            }
            scheduler.admit(jobOf("last", { sizes: [900, 300, 100], at: 50 }), 50);
            const started = assignAll(scheduler, 50).map(next => [next.agent, next.task.declaredMs]);
            assert.deepEqual(started, [["a1", 900], ["a0", 100]]);
        });
    });

    describe("teams", () => {
        it("serves teams by their new weights after configure", () => {
            const scheduler = newScheduler(1, 8);
            const limits = { maxQueuedTasks: 1e5, maxTaskMs: 1e5, reservedShare: 0 };
            const weigh = (heavy: number) =>
                scheduler.configure({ ...limits, team: name => ({ weight: name === "x" ? heavy : 1, maxTasks: 1e5 }) });
            weigh(1);
            const sizes = Array.from({ length: 4000 }, () => 100);
            ["x", "y"].forEach(team => scheduler.admit(jobOf(team, { team, sizes }), 0));
            weigh(4);
            const used = { x: 0, y: 0 };
            for (let now = 0; now < 50_000; now += 100) {
                for (const next of assignAll(scheduler, now)) {
                    used[next.task.team as "x" | "y"] += 1;
                    finish(scheduler, next, now + 100);
                    scheduler.addCredits("a0", -1);
                }
                scheduler.addCredits("a0", 8);
            }
            assert.ok(used.x > 3 * used.y, JSON.stringify(used));
        });

        it("finishes a started large job before its deadline under a stream of single short tasks", () => {
            const scheduler = newScheduler(1, 4);
            scheduler.admit(jobOf("large", { sizes: Array.from({ length: 80 }, () => 150), deadlineAt: 10_000 }), 0);
            let left = 80;
            for (let now = 0; now < 10_000; now += 150) {
                for (let index = 0; index < 4; index += 1) {
                    const options = { sizes: [30], at: now, deadlineAt: now + 10_000 };
                    assert.equal(scheduler.admit(jobOf(`s${now}/${index}`, options), now), undefined);
                }
                for (const next of assignAll(scheduler, now)) {
                    left -= next.task.job === "large" ? 1 : 0;
                    finish(scheduler, next, now + 150);
                    scheduler.addCredits("a0", -1);
                }
                scheduler.addCredits("a0", 4 - scheduler.freeCredits("a0"));
            }
            assert.equal(left, 0);
        });
    });

    describe("large queues", () => {
        it("starts each of 20,000 queued tasks once, over hundreds of distinct agent sets", () => {
            const scheduler = newScheduler(64, 8, {
                maxQueuedTasks: 20_000,
                maxTaskMs: 60_000,
                reservedShare: 0.2,
                team: () => ({ weight: 1, maxTasks: 20_000 }),
            });
            const all = ids(64);
            for (let job = 0; job < 200; job += 1) {
                const agents = all.filter((_, index) => index !== job % 64 && index !== (job * 7) % 61);
                const options = { sizes: Array.from({ length: 100 }, () => 50), agents, team: `t${job % 5}` };
                assert.equal(scheduler.admit(jobOf(`j${job}`, options), 0), undefined);
            }
            assert.equal(scheduler.queued, 20_000);
            assert.notEqual(scheduler.admit(jobOf("more"), 0), undefined);
            const seen = new Set<string>();
            for (let now = 0; seen.size < 20_000 && now < 10_000; now += 50) {
                const started: Assignment[] = assignAll(scheduler, now);
                started.forEach(next => seen.add(`${next.task.job}/${next.task.task}`));
                started.forEach(next => finish(scheduler, next, now + 50));
            }
            assert.equal(seen.size, 20_000);
            assert.deepEqual([scheduler.queued, scheduler.running], [0, 0]);
        });
    });
});
