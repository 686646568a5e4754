import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { SeededRandom } from "../common/SeededRandom.js";
import { capacityOf } from "./capacityOf.js";
import { PROFILES } from "./PROFILES.js";
import { SCENARIOS } from "./SCENARIOS.js";
import { Workload } from "./Workload.js";

function planOf(seed: number) {
    return new Workload(PROFILES["brno"]!, SCENARIOS["steady"]!, new SeededRandom(seed)).plan();
}

describe("Workload", () => {
    it("guards against different plans from the same seed", () => {
        assert.deepEqual(planOf(3), planOf(3));
    });

    it("offers the stated load on average over seeds", () => {
        const scenario = SCENARIOS["steady"]!;
        const durationMs = scenario.phases.reduce((sum, phase) => sum + phase.durationMs, 0);
        const seeds = Array.from({ length: 40 }, (_, index) => index + 1);
        const offered = seeds.flatMap(seed => planOf(seed)).flatMap(job => job.tasks)
            .reduce((sum, task) => sum + task.runMs, 0);
        const load = offered / seeds.length / durationMs / capacityOf(PROFILES["brno"]!);
        assert.ok(Math.abs(load - 0.7) < 0.04, `offered load ${load}`);
    });

    it("keeps jobs between 1 and 400 tasks", () => {
        assert.ok(planOf(5).every(job => job.tasks.length >= 1 && job.tasks.length <= 400));
    });
});
