import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { FifoScheduler } from "./FifoScheduler.js";
import { schedulerFixture } from "./schedulerFixture.js";

const { jobOf } = schedulerFixture;

describe("FifoScheduler", () => {
    it("removes the agents of jobs whose tasks have ended, were withdrawn or have expired", () => {
        const scheduler = new FifoScheduler();
        scheduler.configure({ maxQueuedTasks: 100, maxTaskMs: 1000, reservedShare: 0, team: () => undefined });
        scheduler.addAgent({ id: "a0", worker: "a0", rack: "r", failureDomain: "d", slots: 1 });
        scheduler.addCredits("a0", 1);
        ["ended", "withdrawn", "expired"].forEach(job => scheduler.admit(jobOf(job, { deadlineAt: 100 })));
        const next = scheduler.assign()!;
        const report = { job: next.task.job, task: 0, attempt: 1, agent: "a0", verdict: "ran", ok: true } as const;
        scheduler.report({ ...report, runMs: 50, countsForHealth: true }, 50);
        scheduler.withdraw("withdrawn", undefined);
        assert.equal(scheduler.openJobs, 1);
        scheduler.expire(100);
        assert.equal(scheduler.openJobs, 0);
    });
});
