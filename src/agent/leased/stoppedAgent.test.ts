import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { LEASE_TIMES } from "../../common/leased/LEASE_TIMES.js";
import { CallDelivery } from "../../emulator/CallDelivery.js";
import type { EmulatedDeployment } from "../../emulator/EmulatedDeployment.js";
import { findOverlappingRuns } from "../../emulator/findOverlappingRuns.js";
import { startTwoAgents } from "../../emulator/startTwoAgents.js";

const ID = "00000000000000aa";

/** Time from the submission to the end of the agent process that has started the task. */
const RUNNING_MS = 150;

/** Longest time from a stop signal to an agent until a task that was ordered meanwhile runs. */
const MAX_ORDER_DELAY_MS = 400;

const RUN_MS = 3000;

/** Deployment with two agents, of which only the first one gets tasks until the second one's endpoint is ready. */
function startDeployment(stopsHeld: boolean): Promise<EmulatedDeployment> {
    return startTwoAgents({
        clockRate: LEASE_TIMES.MIN_CLOCK_RATE,
        work: () => ({ ms: RUN_MS, how: "done" }),
        deliveryOf: call => call === "stop" && stopsHeld ? CallDelivery.Lost : CallDelivery.Answered,
    });
}

describe("an agent that stops while a run is at its endpoint", () => {
    for (const downMs of [0, 100, 200, 300, 400, 500, 600]) {
        // Neither the stops of the ending process nor those of the next one have an effect: the endpoint lease ends the
        // run, unless the next process renews it.
        it(`guards against a run that goes on when its entry places the task elsewhere, next process after ${downMs} ms`, async () => {
            const deployment = await startDeployment(true);
            void deployment.submit(0, ID, 1, RUN_MS, undefined, 2 * RUN_MS);
            await deployment.advance(RUNNING_MS);
            const stoppedAt = deployment.clock.now();
            await deployment.stopAgent(0, 0);
            deployment.deliverHeartbeat(1, 1, 3);
            await deployment.advance(downMs);
            deployment.startAgent(0);
            await deployment.advance(3 * LEASE_TIMES.LOST_RUN_EXPIRY_MS);
            const [first, second] = deployment.records;
            const outlivedMs = (first?.to ?? Number.POSITIVE_INFINITY) - stoppedAt;
            assert.ok(outlivedMs <= LEASE_TIMES.LOST_RUN_EXPIRY_MS, `${outlivedMs} ms`);
            assert.notEqual(second, undefined);
            assert.equal(findOverlappingRuns(deployment.records), undefined);
        });
    }
});

describe("an agent that stops without runs", () => {
    // Its entries consider a task that was on its way as lost with the agent, for 1200 ms.
    it("guards against a task that waits because its order arrives after the agent has closed its connections", async () => {
        const deployment = await startDeployment(false);
        const submittedAt = deployment.clock.now();
        void deployment.submit(0, ID, 1, RUN_MS, undefined, 2 * RUN_MS);
        // The order is sent, but has not arrived.
        deployment.clock.advance(0);
        void deployment.stopAgent(0, 2 * RUN_MS);
        await new Promise(resolve => setImmediate(resolve));
        deployment.deliverHeartbeat(1, 1, 3);
        await deployment.advance(RUN_MS);
        const delayMs = (deployment.records.at(-1)?.from ?? Number.POSITIVE_INFINITY) - submittedAt;
        assert.ok(delayMs <= MAX_ORDER_DELAY_MS, `${delayMs} ms`);
    });
});
