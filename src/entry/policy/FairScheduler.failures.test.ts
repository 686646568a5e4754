import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Verdict } from "../../common/Verdict.js";
import type { Assignment } from "./Assignment.js";
import { Disposition } from "./Disposition.js";
import { schedulerFixture } from "./schedulerFixture.js";

const { newScheduler, jobOf, assignAll, finish } = schedulerFixture;

describe("FairScheduler", () => {
    describe("retry", () => {
        it("limits retries after failures to a tenth of the starts plus the first burst", () => {
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

        it("uses no retry budget and retries in no tight loop when agents refuse for reasons of their own", () => {
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

        it("never starts a task again that may have run and is not repeatable", () => {
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

        it("ejects an agent whose tasks become overdue, and takes it back after a successful probe", () => {
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
});
