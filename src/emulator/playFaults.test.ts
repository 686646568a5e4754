import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { playFaults } from "./playFaults.js";

/**
 * Seeds 106 to 395 failed once: the start time of a run that was stopped was kept for the next run of the task, which
 * then counted as ended when the next list did not show it yet.
 *
 * Seeds 1, 101, 346, 471 and 595 failed once: an endpoint that had started again under its id answered and was given tasks
 * before its heartbeat came, and these counted as ended with the earlier life.
 */
const SEEDS = [1, 2, 101, 346, 471, 595, 106, 132, 161, 208, 214, 254, 320, 395];

describe("playFaults", () => {
    for (const seed of SEEDS) {
        it(`guards against two runs of one task, lost answers and false refusals under faults, seed ${seed}`, async () => {
            const result = await playFaults(seed);
            assert.equal(result.overlap, undefined);
            assert.equal(result.open, 0);
            assert.deepEqual(result.falselyRefused, []);
            assert.ok(result.completed > result.submitted / 2, `${result.completed} of ${result.submitted} completed`);
        });
    }
});
