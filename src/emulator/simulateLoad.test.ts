import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { LOAD_PATTERNS } from "./LOAD_PATTERNS.js";
import { simulateLoad } from "./simulateLoad.js";

/** Limits from the users' targets: 99% of jobs within target on quiet days, and a mean value of 0.73 on heavy ones. */
const QUIET_IN_TARGET = 0.99;
const HEAVY_WORTH = 0.73;
const LARGE_WORTH = 0.78;

const SEEDS = [11, 12, 13];

/** Half of the large deployment, which takes half of the time to simulate. */
const SKEW = {
    ...LOAD_PATTERNS.skew,
    entries: 18,
    callers: 26,
    slowness: LOAD_PATTERNS.skew.slowness.slice(0, 80),
    lengthMs: 1000,
};

/** Load of a quiet day, below half of the endpoints' capacity. */
const QUIET = { ...LOAD_PATTERNS.steady, utilisation: () => 0.4 };

describe("simulateLoad", () => {
    it("guards against missed latency targets on a quiet day", async () => {
        const results = await Promise.all(SEEDS.map(seed => simulateLoad(QUIET, seed)));
        const mean = results.reduce((sum, result) => sum + result.inTarget, 0) / SEEDS.length;
        assert.ok(mean >= QUIET_IN_TARGET, `${mean} in target`);
    });

    it("guards against a backlog of late jobs that delays the others, at a peak of 1.3 times capacity", async () => {
        const results = await Promise.all(SEEDS.map(seed => simulateLoad(LOAD_PATTERNS.crest, seed)));
        const mean = results.reduce((sum, result) => sum + result.worth, 0) / SEEDS.length;
        assert.ok(mean >= HEAVY_WORTH, `worth ${mean}`);
    });

    it("guards against a backlog that remains after all callers have returned from an outage", async () => {
        const results = await Promise.all(SEEDS.map(seed => simulateLoad(LOAD_PATTERNS.recovery, seed)));
        const mean = results.reduce((sum, result) => sum + result.worth, 0) / SEEDS.length;
        assert.ok(mean >= HEAVY_WORTH, `worth ${mean}`);
    });

    it("guards against entries with many callers that find no free capacity while other entries have some", async () => {
        const result = await simulateLoad(SKEW, 11);
        assert.ok(result.worth >= LARGE_WORTH, `worth ${result.worth}`);
        assert.ok(result.refused === 0, `${result.refused} refused below capacity`);
    });

    it("guards against eight entries that assign the same free capacity because reports reach them late", async () => {
        const result = await simulateLoad(LOAD_PATTERNS.mesh, 11);
        assert.ok(result.worth >= HEAVY_WORTH, `worth ${result.worth}`);
    });
});
