import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { EmulatedDeployment } from "../../emulator/EmulatedDeployment.js";
import { findOverlappingRuns } from "../../emulator/findOverlappingRuns.js";
import { StallingProcess } from "../../emulator/StallingProcess.js";

const ID = "00000000000000aa";
const OTHER_IDS = ["00000000000000bb", "00000000000000cc"];
const RUN_MS = 4000;
const BUDGET_MS = 8000;

/** Time until endpoints, agents and entries know each other; then the job is submitted. */
const WARMUP_MS = 500;

/** Time from the job to two further ones, whose run orders arrive together, just after a poll. */
const NEXT_JOBS_MS = 110;

/** A caller that has lost its entry submits again after this time. */
const RESUBMIT_MS = 1300;

/** Stalls of the agent that begin between the two orders and end while the endpoint lease is still in force. */
const STALLS_MS = [575, 590, 605, 620];

async function simulateStall(stallMs: number): Promise<EmulatedDeployment> {
    const deployment = new EmulatedDeployment({
        entries: 2,
        agents: 2,
        seed: 1,
        cpu: 64_000,
        taskCpu: 6000,
        work: () => ({ ms: RUN_MS, how: "done" }),
        createProcess: time => new StallingProcess(time, () => 0),
    });
    deployment.deliverHeartbeat(1, 1, 2, true);
    await deployment.advance(WARMUP_MS);
    deployment.partition(1, 0, "both");
    const caller = new AbortController();
    void deployment.submit(0, ID, 1, RUN_MS, caller.signal, BUDGET_MS);
    await deployment.advance(NEXT_JOBS_MS);
    OTHER_IDS.forEach(id => void deployment.submit(0, id, 1, RUN_MS, undefined, BUDGET_MS));
    deployment.stallAgent(0, stallMs, 0);
    await deployment.advance(5);
    // The entry stands still from here on, so its caller leaves it.
    deployment.stallEntry(0, 2 * RUN_MS, 0);
    caller.abort();
    deployment.deliverHeartbeat(1, 1, 3);
    await deployment.advance(RESUBMIT_MS);
    void deployment.submit(1, ID, 1, RUN_MS, undefined, BUDGET_MS);
    await deployment.advance(RUN_MS);
    return deployment;
}

describe("an agent that stalls between two run orders of an entry that stands still from then on", () => {
    for (const stallMs of STALLS_MS) {
        // The second order arrives with the first and is read after the end of the entry lease that both of them name.
        it(`guards against a run that outlives its entry until its caller has submitted again, stalled for ${stallMs} ms`, async () => {
            const deployment = await simulateStall(stallMs);
            assert.equal(findOverlappingRuns(deployment.records), undefined);
            assert.ok(deployment.records.some(({ endpoint }) => endpoint === "endpoint-1"));
        });
    }
});
