import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { CallDelivery } from "../../emulator/CallDelivery.js";
import { EmulatedDeployment } from "../../emulator/EmulatedDeployment.js";
import { findOverlappingRuns } from "../../emulator/findOverlappingRuns.js";

const ID = "00000000000000aa";

/** Time until endpoints, agents and entries know each other; then the job is submitted. */
const WARMUP_MS = 500;

/** Time from the submission to the deregistration of endpoint 0. */
const RUNNING_MS = 100;

/** Time that the task would take at an endpoint that goes on. */
const RUN_MS = 1000;

/** Time until an agent has noticed that a task cannot run at its endpoint, and the task runs elsewhere. */
const MAX_RETURN_MS = 150;

/** Time until the endpoint lease has certainly expired, after its last renewal. */
const LEASE_EXPIRY_MS = 683;

/** Time from the end of a leaving endpoint that refuses connections until its tasks run elsewhere. */
const MAX_REFUSED_MS = LEASE_EXPIRY_MS + MAX_RETURN_MS;

/** The same where it does not answer: a poll may have renewed the endpoint lease, after its timeout none does. */
const MAX_SILENT_MS = 320 + LEASE_EXPIRY_MS + MAX_RETURN_MS;

interface Leaving {
    /** Time that endpoint 0 goes on after its deregistration. */
    readonly livesOnMs: number;
    /** Whether connections are refused after its end; otherwise calls to it time out. */
    readonly refuses: boolean;
    /** Number of further tasks, which wait for free capacity. */
    readonly extraTasks?: number;
    /** Time from the closing of its port until its deregistration arrives; undefined when it does not close its port. */
    readonly closedMs?: number;
}

/** Simulates a job at endpoint 0, which deregisters meanwhile; endpoint 1 is ready from then on. */
async function simulateLeaving(leaving: Leaving): Promise<EmulatedDeployment> {
    const { livesOnMs, refuses, extraTasks = 0, closedMs } = leaving;
    let closed = false;
    const deployment = new EmulatedDeployment({
        entries: 1,
        agents: 2,
        seed: 1,
        cpu: 6000,
        taskCpu: 6000,
        work: () => ({ ms: RUN_MS, how: "done" }),
        refusesWhileDown: refuses,
        resetsConnectionsAtCrash: true,
        deliveryOf: (_call, _task, endpoint) => closed && endpoint === 0 ? CallDelivery.Refused : CallDelivery.Answered,
    });
    deployment.deliverHeartbeat(1, 1, 2, true);
    await deployment.advance(WARMUP_MS);
    void deployment.submit(0, ID, 1 + extraTasks, RUN_MS, undefined, 4 * RUN_MS);
    await deployment.advance(RUNNING_MS);
    if (closedMs !== undefined) {
        deployment.deliverHeartbeat(0, 1, 2, true);
        closed = true;
        await deployment.advance(closedMs);
    }
    deployment.deliverDeregistration(0);
    deployment.deliverHeartbeat(1, 1, 3);
    await deployment.advance(livesOnMs);
    deployment.endpoints[0]?.crash();
    await deployment.advance(3 * RUN_MS);
    return deployment;
}

describe("an endpoint that deregisters", () => {
    // Without an acknowledgement it goes on for seconds, and its runs with it.
    for (const livesOnMs of [200, 600, 2000]) {
        it(`guards against a run elsewhere beside the one that goes on for ${livesOnMs} ms after the deregistration`, async () => {
            const deployment = await simulateLeaving({ livesOnMs, refuses: true });
            assert.equal(findOverlappingRuns(deployment.records), undefined);
            assert.ok(deployment.records.some(({ how }) => how === "done"));
        });
    }

    for (const closedMs of [0, 300]) {
        for (const livesOnMs of [200, 600, 2000]) {
            // An endpoint that ends as planned may close its port before its runs end, and before it deregisters.
            it(`guards against a run elsewhere beside the one of an endpoint that refuses connections, ${closedMs} ms before and ${livesOnMs} ms after its deregistration`, async () => {
                const deployment = await simulateLeaving({ livesOnMs, refuses: true, closedMs });
                assert.equal(findOverlappingRuns(deployment.records), undefined);
                assert.ok(deployment.records.some(({ how }) => how === "done"));
            });
        }
    }

    it("guards against a run that is stopped although the endpoint goes on until it is done", async () => {
        const deployment = await simulateLeaving({ livesOnMs: 2 * RUN_MS, refuses: true });
        assert.deepEqual(deployment.records.map(({ how }) => how), ["done"]);
    });

    for (
        const { refuses, maxMs } of [{ refuses: true, maxMs: MAX_REFUSED_MS }, { refuses: false, maxMs: MAX_SILENT_MS }]
    ) {
        it(`guards against a task that waits for more than ${maxMs} ms after the end of its endpoint`, async () => {
            const deployment = await simulateLeaving({ livesOnMs: 5, refuses });
            const [ended, next] = deployment.records;
            const waitedMs = (next?.from ?? Number.POSITIVE_INFINITY) - (ended?.to ?? 0);
            assert.ok(waitedMs <= maxMs, `${waitedMs} ms`);
            assert.equal(findOverlappingRuns(deployment.records), undefined);
        });
    }

    it("guards against a waiting task that is kept by an agent whose endpoint leaves", async () => {
        const deployment = await simulateLeaving({ livesOnMs: 2 * RUN_MS, refuses: true, extraTasks: 1 });
        const second = deployment.records.find(({ endpoint }) => endpoint === "endpoint-1");
        const waitedMs = (second?.from ?? Number.POSITIVE_INFINITY) - WARMUP_MS - RUNNING_MS;
        assert.ok(waitedMs <= MAX_RETURN_MS, `${waitedMs} ms`);
    });
});
