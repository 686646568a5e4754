import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { CallDelivery } from "../../emulator/CallDelivery.js";
import { EmulatedDeployment } from "../../emulator/EmulatedDeployment.js";
import { findOverlappingRuns } from "../../emulator/findOverlappingRuns.js";

const ID = "00000000000000aa";
const RUN_MS = 4000;
const BUDGET_MS = 8000;

/** Times until the job is submitted, spread over the interval of the polls; endpoints and entries know each other by then. */
const WARMUPS_MS = [500, 520, 540, 560, 580, 600, 620, 640, 660, 680];

/** A caller that has lost its entry submits again after this time. */
const RESUBMIT_MS = 1300;

/** Time after the job at which its entry is cut off from its caller and the agents. */
const LOSS_MS = 5;

/** Times before and after the job between which endpoint 0 refuses new connections, as polls need them. */
const REFUSED_FROM_MS = -40;
const REFUSED_UNTIL_MS = 40;

async function simulateLoss(warmupMs: number): Promise<EmulatedDeployment> {
    let sinceJobMs = -warmupMs;
    const deployment = new EmulatedDeployment({
        entries: 2,
        agents: 2,
        seed: 1,
        cpu: 64_000,
        taskCpu: 6000,
        work: () => ({ ms: RUN_MS, how: "done" }),
        deliveryOf: (call, _task, endpoint) => {
            if (endpoint !== 0 || sinceJobMs < REFUSED_FROM_MS || sinceJobMs >= REFUSED_UNTIL_MS) {
                return CallDelivery.Answered;
            }
            return call === "start" ? CallDelivery.AnswerLost : CallDelivery.Refused;
        },
    });
    deployment.deliverHeartbeat(1, 1, 2, true);
    for (; sinceJobMs < 0; sinceJobMs += 1) {
        await deployment.advance(1);
    }
    const caller = new AbortController();
    void deployment.submit(0, ID, 1, RUN_MS, caller.signal, BUDGET_MS);
    for (; sinceJobMs < RESUBMIT_MS + LOSS_MS; sinceJobMs += 1) {
        if (sinceJobMs === LOSS_MS) {
            deployment.partition(0, 0, "both");
            deployment.partition(0, 1, "both");
            deployment.partition(1, 0, "both");
            caller.abort();
            deployment.deliverHeartbeat(1, 1, 3);
        }
        await deployment.advance(1);
    }
    void deployment.submit(1, ID, 1, RUN_MS, undefined, BUDGET_MS);
    await deployment.advance(RUN_MS);
    return deployment;
}

describe("an endpoint that counts as lost while a start is in flight, and answers again in the same incarnation", () => {
    for (const warmupMs of WARMUPS_MS) {
        it(`guards against a run that nobody stops when its entry is silent from then on, job after ${warmupMs} ms`, async () => {
            const deployment = await simulateLoss(warmupMs);
            assert.equal(findOverlappingRuns(deployment.records), undefined);
            assert.ok(deployment.records.some(({ endpoint }) => endpoint === "endpoint-1"));
        });
    }
});
