import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { EmulatedDeployment } from "../../emulator/EmulatedDeployment.js";
import { findOverlappingRuns } from "../../emulator/findOverlappingRuns.js";

const ENTRIES = 10;
const AGENTS = 50;

/** Agents that each entry should have, and the factor by which a settled deployment may deviate from it. */
const AGENTS_PER_ENTRY = 16;
const TOLERANCE = 1.5;

/** Time in which agents adapt once and close the connections that are not needed. */
const SETTLE_MS = 6500;
const SUBMIT_EVERY_MS = 20;

describe("LeasedAgent", () => {
    describe("a deployment that is larger than its agents assumed", () => {
        it("guards against surplus connections, and against tasks lost with those that are closed", async () => {
            const deployment = new EmulatedDeployment({
                entries: ENTRIES,
                agents: AGENTS,
                seed: 1,
                cpu: 64_000,
                taskCpu: 6000,
                work: () => ({ ms: 300, how: "done" }),
            });
            await deployment.advance(500);
            const outcomes = [];
            for (let job = 0; job < SETTLE_MS / SUBMIT_EVERY_MS; job += 1) {
                outcomes.push(deployment.submit(job % ENTRIES, job.toString(16).padStart(16, "0"), 4, 300));
                await deployment.advance(SUBMIT_EVERY_MS);
            }
            await deployment.advance(1000);
            const kinds = (await Promise.all(outcomes)).map(outcome => outcome.kind);
            const open = deployment.links.filter(link => link.atAgent.open).length;
            assert.deepEqual([...new Set(kinds)], ["completed"]);
            assert.equal(deployment.records.length, 4 * outcomes.length);
            assert.equal(findOverlappingRuns(deployment.records), undefined);
            assert.ok(open / ENTRIES <= AGENTS_PER_ENTRY * TOLERANCE, `${open / ENTRIES} agents per entry`);
            assert.ok(open / ENTRIES >= AGENTS_PER_ENTRY / TOLERANCE, `${open / ENTRIES} agents per entry`);
        });
    });
});
