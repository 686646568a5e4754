import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { EmulatedDeployment } from "../../emulator/EmulatedDeployment.js";
import { findOverlappingRuns } from "../../emulator/findOverlappingRuns.js";

const ID = "00000000000000aa";
const OTHER_ID = "00000000000000bb";
const RUN_MS = 4000;
const BUDGET_MS = 8000;

/** Time until endpoints, agents and entries know each other; then the job is submitted. */
const WARMUP_MS = 500;

/** A caller that has lost its entry submits again after this time. */
const RESUBMIT_MS = 1300;

/** Time between the run order of the job and a further order to the same agent, which is held up. */
const NEXT_ORDER_MS = 5;

/** Delays of the held-up order that end just after both entry leases, before the agent has checked them. */
const HELD_MS = [565, 570, 575, 580, 585, 590, 595, 600, 605];

/**
 * Simulates an entry that sends its last renewal of the entry lease, with another order, shortly after the run order of
 * the job. It is cut off from then on, and its last message arrives `heldMs` later.
 */
async function simulateHeldRenewal(heldMs: number): Promise<EmulatedDeployment> {
    const deployment = new EmulatedDeployment({
        entries: 2,
        agents: 2,
        seed: 1,
        cpu: 64_000,
        taskCpu: 6000,
        work: () => ({ ms: RUN_MS, how: "done" }),
    });
    deployment.deliverHeartbeat(1, 1, 2, true);
    await deployment.advance(WARMUP_MS);
    const caller = new AbortController();
    void deployment.submit(0, ID, 1, RUN_MS, caller.signal, BUDGET_MS);
    await deployment.advance(NEXT_ORDER_MS);
    const link = deployment.links.find(({ entry, agent }) => entry === 0 && agent === 0);
    link?.atEntry.hold();
    void deployment.submit(0, OTHER_ID, 1, RUN_MS, undefined, BUDGET_MS);
    await deployment.advance(2);
    deployment.partition(0, 0, "both");
    deployment.partition(0, 1, "both");
    deployment.partition(1, 0, "both");
    caller.abort();
    deployment.deliverHeartbeat(1, 1, 3);
    await deployment.advance(heldMs);
    link?.atEntry.release();
    await deployment.advance(RESUBMIT_MS - heldMs);
    void deployment.submit(1, ID, 1, RUN_MS, undefined, BUDGET_MS);
    await deployment.advance(RUN_MS);
    return deployment;
}

describe("a renewal of the entry lease that arrives after the end that it names", () => {
    for (const heldMs of HELD_MS) {
        // The agent has not noticed yet that the lease before has expired, and must still stop the runs of the entry.
        it(`guards against a run that outlives its entry until its caller has submitted again, held up for ${heldMs} ms`, async () => {
            const deployment = await simulateHeldRenewal(heldMs);
            assert.equal(findOverlappingRuns(deployment.records), undefined);
            assert.ok(deployment.records.some(({ endpoint }) => endpoint === "endpoint-1"));
        });
    }
});
