import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { LearntSizes } from "./LearntSizes.js";
import type { QueuedTask } from "./QueuedTask.js";

function task(declaredMs: number, team = "a"): QueuedTask {
    return { job: "j", task: 0, attempt: 1, team, declaredMs, repeatable: false, enqueuedAt: 0, deadlineAt: 1e6 };
}

describe("LearntSizes", () => {
    it("corrects each team by its own habit", () => {
        const sizes = new LearntSizes();
        for (let round = 0; round < 200; round += 1) {
            sizes.observe(task(400, "honest"), 400);
            sizes.observe(task(400, "wrong"), 100);
        }
        assert.ok(Math.abs(sizes.expectedMs(task(400, "honest")) - 400) < 20);
        assert.ok(Math.abs(sizes.expectedMs(task(400, "wrong")) - 100) < 20);
        assert.ok(sizes.expectedMs(task(400, "new")) < 380, "a new team starts from what is known of others");
    });

    it("does not move the typical time much by a few tasks that run 8 times longer", () => {
        const sizes = new LearntSizes();
        for (let round = 0; round < 400; round += 1) {
            sizes.observe(task(80), round % 10 === 0 ? 640 : 80);
        }
        assert.ok(sizes.typicalMs(task(80)) < 120);
        assert.ok(sizes.expectedMs(task(80)) > 120);
    });

    it("expects no task to run longer than any that ran, so that one wrong size does not refuse its job", () => {
        const sizes = new LearntSizes();
        for (let round = 0; round < 200; round += 1) {
            sizes.observe(task(1000), 1000 + round);
        }
        assert.ok(sizes.expectedMs(task(40_000)) <= 1200);
    });
});
