import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Verdict } from "../../common/Verdict.js";
import type { Assignment } from "./Assignment.js";
import { Disposition } from "./Disposition.js";
import { schedulerFixture } from "./schedulerFixture.js";

const { ids, newScheduler, jobOf, assignAll, finish } = schedulerFixture;

describe("FairScheduler", () => {
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

/** Applies random calls, then drains the scheduler. Checks that each task ends exactly once, and the credits. */
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
