import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { EmulatedDeployment } from "../../emulator/EmulatedDeployment.js";
import { findOverlappingRuns } from "../../emulator/findOverlappingRuns.js";
import { startTwoAgents } from "../../emulator/startTwoAgents.js";

/**
 * The poll that waits at the crash ends 106 ms later, and the second refused one 42 ms after that: the new incarnation
 * begins then.
 */
const DOWN_MS = 148;

/** Times at which the job is submitted around that, after the crash. */
const FIRST_SUBMIT_MS = 138;
const LAST_SUBMIT_MS = 152;

const RUN_MS = 1000;

/** Simulates a job that is submitted `submittedMs` after a crash of endpoint 0, whose agent gets the first order. */
async function simulateCrash(submittedMs: number): Promise<EmulatedDeployment> {
    const deployment = await startTwoAgents({
        work: () => ({ ms: RUN_MS, how: "done" }),
        refusesWhileDown: true,
    });
    deployment.endpoints[0]?.crash();
    for (let nowMs = 0; nowMs < 3 * RUN_MS; nowMs += 1) {
        if (nowMs === DOWN_MS) {
            deployment.endpoints[0]?.restart(2);
        }
        if (nowMs === submittedMs) {
            void deployment.submit(0, "00000000000000aa", 1, RUN_MS, undefined, 3 * RUN_MS);
            deployment.deliverHeartbeat(1, 1, 3);
        }
        await deployment.advance(1);
    }
    return deployment;
}

describe("an endpoint that refuses connections and restarts", () => {
    for (let submittedMs = FIRST_SUBMIT_MS; submittedMs <= LAST_SUBMIT_MS; submittedMs += 1) {
        // Two refused polls end the incarnation, while a start that was sent after them reaches the next one.
        it(`guards against a returned task whose start is in flight, submitted ${submittedMs} ms after the crash`, async () => {
            const deployment = await simulateCrash(submittedMs);
            assert.equal(findOverlappingRuns(deployment.records), undefined);
            assert.ok(deployment.records.some(({ how }) => how === "done"));
        });
    }
});
