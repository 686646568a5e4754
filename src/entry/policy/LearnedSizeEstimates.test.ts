import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { LearnedSizeEstimates } from "./LearnedSizeEstimates.js";
import type { QueuedTask } from "./QueuedTask.js";

function task(declaredMs: number, team = "a"): QueuedTask {
    return { job: "j", task: 0, attempt: 1, team, declaredMs, repeatable: false, enqueuedAt: 0, deadlineAt: 1e6 };
}

describe("LearnedSizeEstimates", () => {
    it("learns a separate correction for each team", () => {
        const sizes = new LearnedSizeEstimates();
        for (let round = 0; round < 200; round += 1) {
            sizes.observe(task(400, "honest"), 400);
            sizes.observe(task(400, "wrong"), 100);
        }
        assert.ok(Math.abs(sizes.expectedMs(task(400, "honest")) - 400) < 20);
        assert.ok(Math.abs(sizes.expectedMs(task(400, "wrong")) - 100) < 20);
        assert.ok(sizes.expectedMs(task(400, "new")) < 380, "a new team starts with the correction of the others");
    });

    it("moves the typical run time little for a few tasks that run 8 times longer", () => {
        const sizes = new LearnedSizeEstimates();
        for (let round = 0; round < 400; round += 1) {
            sizes.observe(task(80), round % 10 === 0 ? 640 : 80);
        }
        assert.ok(sizes.typicalMs(task(80)) < 120);
        assert.ok(sizes.expectedMs(task(80)) > 120);
    });

    it("expects no task to run longer than the longest observed, so that one wrong size refuses no job", () => {
        const sizes = new LearnedSizeEstimates();
        for (let round = 0; round < 200; round += 1) {
            sizes.observe(task(1000), 1000 + round);
        }
        assert.ok(sizes.expectedMs(task(40_000)) <= 1200);
    });
});
