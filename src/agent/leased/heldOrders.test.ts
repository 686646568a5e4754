import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { CallDelivery } from "../../emulator/CallDelivery.js";
import { EmulatedDeployment } from "../../emulator/EmulatedDeployment.js";
import { findOverlappingRuns } from "../../emulator/findOverlappingRuns.js";

const ID = "00000000000000aa";
const OTHER_ID = "00000000000000bb";
const RUN_MS = 3000;
const BUDGET_MS = 8000;

/** A caller that has lost its response submits again after this time. */
const RESUBMIT_MS = 1300;

/** Time after the loss of the entry until shortly before its lease ends if it is read as a time on the new clock. */
const EARLIER_LEASE_MS = 800;

/**
 * Deployment of two entries and two agents; agent 1 gets no tasks until its endpoint no longer drains. Calls to endpoint
 * 0 are lost while `isStalled` says so.
 */
function deploy(isStalled: () => boolean = () => false): EmulatedDeployment {
    const deployment = new EmulatedDeployment({
        entries: 2,
        agents: 2,
        seed: 1,
        cpu: 64_000,
        taskCpu: 6000,
        work: task => ({ ms: task.startsWith(ID) ? RUN_MS : 1, how: "done" }),
        deliveryOf: (_call, _task, endpoint) =>
            endpoint === 0 && isStalled() ? CallDelivery.Lost : CallDelivery.Answered,
    });
    deployment.deliverHeartbeat(1, 1, 2, true);
    return deployment;
}

function linkOf({ links }: EmulatedDeployment, entry: number, agent: number): EmulatedDeployment["links"][number] {
    const link = links.find(candidate => candidate.entry === entry && candidate.agent === agent);
    assert.ok(link !== undefined);
    return link;
}

describe("an endpoint that restarts under its id while messages are held up", () => {
    for (const ageMs of [300, 900]) {
        // The clock of the new incarnation reaches the times that the order names.
        it(`guards against a late order that starts a task beside its second submission, endpoint ${ageMs} ms old`, async () => {
            const deployment = deploy();
            await deployment.advance(ageMs);
            deployment.partition(1, 0, "both");
            const { atEntry } = linkOf(deployment, 0, 0);
            const caller = new AbortController();
            atEntry.hold();
            void deployment.submit(0, ID, 1, RUN_MS, caller.signal, BUDGET_MS);
            await deployment.advance(10);
            caller.abort();
            deployment.endpoints[0]?.crash();
            deployment.deliverHeartbeat(1, 1, 3);
            await deployment.advance(RESUBMIT_MS - ageMs);
            deployment.endpoints[0]?.restart(2);
            deployment.deliverHeartbeat(0, 2, 1);
            await deployment.advance(ageMs);
            void deployment.submit(1, ID, 1, RUN_MS, undefined, BUDGET_MS);
            await deployment.advance(50);
            atEntry.release();
            await deployment.advance(500);
            assert.equal(findOverlappingRuns(deployment.records), undefined);
            assert.deepEqual(deployment.records.map(({ endpoint }) => endpoint), ["endpoint-1"]);
        });
    }

    // The entry computes the end of its lease from a report of the earlier incarnation, whose clock is ahead.
    it("guards against a run that outlives its entry because its lease is a time on the earlier clock", async () => {
        let stalled = false;
        const deployment = deploy(() => stalled);
        deployment.partition(1, 0, "both");
        await deployment.advance(270);
        // The agent reports with the end of this task.
        void deployment.submit(0, OTHER_ID, 1, 1);
        await deployment.advance(20);
        linkOf(deployment, 0, 0).atAgent.hold();
        await deployment.advance(10);
        deployment.endpoints[0]?.restart(2);
        deployment.deliverHeartbeat(0, 2, 1);
        await deployment.advance(350);
        void deployment.submit(0, ID, 1, RUN_MS, undefined, BUDGET_MS);
        await deployment.advance(50);
        deployment.partition(0, 0, "both");
        deployment.deliverHeartbeat(1, 1, 3);
        await deployment.advance(EARLIER_LEASE_MS);
        stalled = true;
        await deployment.advance(RESUBMIT_MS - EARLIER_LEASE_MS);
        void deployment.submit(1, ID, 1, RUN_MS, undefined, BUDGET_MS);
        await deployment.advance(500);
        assert.equal(findOverlappingRuns(deployment.records), undefined);
    });
});
