import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { SeededRandom } from "../../common/SeededRandom.js";
import { Verdict } from "../../common/Verdict.js";
import { Disposition } from "./Disposition.js";
import { FairScheduler } from "./FairScheduler.js";

function dispositionAfter(verdict: Verdict, repeatable: boolean): Disposition {
    const scheduler = new FairScheduler(new SeededRandom(1));
    scheduler.configure({
        maxQueuedTasks: 10,
        maxTaskMs: 1000,
        reservedShare: 0,
        team: () => ({ weight: 1, maxTasks: 10 }),
    });
    scheduler.addAgent({ id: "a", worker: "a", rack: "r", failureDomain: "d", slots: 1 });
    scheduler.addCredits("a", 1);
    const task = { job: "j", task: 0, attempt: 1, team: "t", declaredMs: 50, repeatable };
    const tasks = [{ ...task, enqueuedAt: 0, deadlineAt: 10_000 }];
    scheduler.admit({ job: "j", team: "t", deadlineAt: 10_000, agents: new Set(["a"]), tasks }, 0);
    scheduler.assign(0);
    const report = { job: "j", task: 0, attempt: 1, agent: "a", verdict, ok: false, runMs: 0, countsForHealth: true };
    return scheduler.report(report, 10);
}

describe("FairScheduler", () => {
    describe("retry by verdict", () => {
        it("guards against a second start of a repeatable task whose outcome is unknown", () => {
            assert.equal(dispositionAfter(Verdict.MayHaveRun, true), Disposition.Final);
        });

        it("retries a repeatable task after a reported failure, and any task that was not run", () => {
            assert.equal(dispositionAfter(Verdict.Ran, true), Disposition.Requeued);
            assert.equal(dispositionAfter(Verdict.NotRun, false), Disposition.Requeued);
            assert.equal(dispositionAfter(Verdict.Ran, false), Disposition.Final);
        });
    });
});
