import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { SeededRandom } from "../../common/SeededRandom.js";
import { Verdict } from "../../common/Verdict.js";
import { Disposition } from "./Disposition.js";
import { RandomScheduler } from "./RandomScheduler.js";
import type { ScheduledJob } from "./ScheduledJob.js";
import { TwoChoicesScheduler } from "./TwoChoicesScheduler.js";

const TASKS = 40;

function job(): ScheduledJob {
    const tasks = Array.from({ length: TASKS }, (_, task) => {
        const times = { declaredMs: 50, enqueuedAt: 0, deadlineAt: 1000 };
        return { job: "j", task, attempt: 1, team: "t", repeatable: false, ...times };
    });
    return { job: "j", team: "t", deadlineAt: 1000, agents: new Set(["a0", "a1"]), tasks };
}

for (const Scheduler of [RandomScheduler, TwoChoicesScheduler]) {
    describe(Scheduler.name, () => {
        const prepare = () => {
            const scheduler = new Scheduler(new SeededRandom(1));
            scheduler.configure({ maxQueuedTasks: TASKS, maxTaskMs: 1000, reservedShare: 0, team: () => undefined });
            for (const id of ["a0", "a1"]) {
                scheduler.addAgent({ id, worker: id, rack: "r", failureDomain: "d", slots: 1 });
            }
            return scheduler;
        };

        it("does not start tasks that are bound to a busy agent on a free one", () => {
            const scheduler = prepare();
            assert.equal(scheduler.admit(job()), undefined);
            scheduler.addCredits("a0", TASKS);
            let started = 0;
            while (scheduler.assign()?.agent === "a0") {
                started += 1;
            }
            assert.ok(started > 0 && started < TASKS);
            assert.equal(scheduler.queued + scheduler.running, TASKS);
        });

        it("loses no task when agents are removed, and ends each by start, withdrawal or expiry", () => {
            const scheduler = prepare();
            scheduler.admit(job());
            scheduler.removeAgent("a0");
            scheduler.removeAgent("a1");
            assert.equal(scheduler.queued, TASKS);
            scheduler.addAgent({ id: "a1", worker: "a1", rack: "r", failureDomain: "d", slots: 1 });
            scheduler.addCredits("a1", 1);
            const next = scheduler.assign();
            assert.equal(next?.agent, "a1");
            const ending = { verdict: Verdict.NotRun, ok: false, runMs: 0, countsForHealth: false };
            const report = { job: "j", task: next.task.task, attempt: 1, agent: "a1", ...ending };
            assert.equal(scheduler.report(report, 10), Disposition.Requeued);
            assert.deepEqual(scheduler.withdraw("j", 5), [5]);
            assert.equal(scheduler.expire(1000).length, TASKS - 1);
            assert.equal(scheduler.queued, 0);
            assert.equal(scheduler.openJobs, 0, "agents of ended jobs are still stored");
        });

        it("refuses a job beyond the limit of the queue or without agents", () => {
            const scheduler = prepare();
            assert.notEqual(scheduler.admit({ ...job(), agents: new Set(["x"]) }), undefined);
            scheduler.admit(job());
            assert.notEqual(scheduler.admit({ ...job(), job: "k" }), undefined);
        });
    });
}
