import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { EmulatedDeployment } from "../../emulator/EmulatedDeployment.js";
import { findOverlappingRuns } from "../../emulator/findOverlappingRuns.js";

/** Time until endpoints, agents and entries know each other; then endpoint 0 crashes. */
const LEAD_MS = 500;

/** The look that waits at the crash ends 106 ms later, and the second refused one 42 ms after that: the new life begins then. */
const DOWN_MS = 148;

/** Times of the job around that, as times after the crash. */
const FIRST_SUBMIT_MS = 138;
const LAST_SUBMIT_MS = 152;

const RUN_MS = 1000;

/** Plays a job that is submitted `submittedMs` after a crash of endpoint 0, whose agent is given it first. */
async function playCrash(submittedMs: number): Promise<EmulatedDeployment> {
    const deployment = new EmulatedDeployment({
        entries: 1,
        agents: 2,
        seed: 1,
        cpu: 64_000,
        taskCpu: 6000,
        work: () => ({ ms: RUN_MS, how: "done" }),
        refusesWhileDown: true,
    });
    deployment.announce(1, 1, 2, true);
    await deployment.advance(LEAD_MS);
    deployment.endpoints[0]?.crash();
    for (let nowMs = 0; nowMs < 3 * RUN_MS; nowMs += 1) {
        if (nowMs === DOWN_MS) {
            deployment.endpoints[0]?.restart(2);
        }
        if (nowMs === submittedMs) {
            void deployment.submit(0, "00000000000000aa", 1, RUN_MS, undefined, 3 * RUN_MS);
            deployment.announce(1, 1, 3);
        }
        await deployment.advance(1);
    }
    return deployment;
}

describe("an endpoint that refuses connections and starts again", () => {
    for (let submittedMs = FIRST_SUBMIT_MS; submittedMs <= LAST_SUBMIT_MS; submittedMs += 1) {
        // Two refused looks end the life, while a start that was sent after them reaches the next life.
        it(`guards against a task given back whose start is under way, submitted ${submittedMs} ms after the crash`, async () => {
            const deployment = await playCrash(submittedMs);
            assert.equal(findOverlappingRuns(deployment.records), undefined);
            assert.ok(deployment.records.some(({ how }) => how === "done"));
        });
    }
});
