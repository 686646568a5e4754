import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { CallDelivery } from "../../emulator/CallDelivery.js";
import { EmulatedDeployment } from "../../emulator/EmulatedDeployment.js";
import { findOverlappingRuns } from "../../emulator/findOverlappingRuns.js";
import type { RunRecord } from "../../emulator/RunRecord.js";

const TASK_CPU = 6000;
const ID = "00000000000000aa";
const RUN_MS = 4000;

/** Time until endpoints, agents and entries know each other. */
const WARMUP_MS = 500;

/** Interval of short jobs of another entry; they make the agent renew the endpoint lease at any moment. */
const OTHER_JOB_MS = 10;

/** Declared run time of these jobs, which makes no endpoint look slow. */
const OTHER_ESTIMATE_MS = 20;

/** Time after the loss in which the entry starts the task elsewhere. */
const REPLACED_WITHIN_MS = 2500;

/** Times of the loss after the job: just after the entry lease was renewed, and later in the renewal interval. */
const LOSSES_MS = [301, 305, 309, 313, 317, 350, 400, 450];

/**
 * Runs a task at agent 0, whose connection the entry loses `lossMs` after the job; then the agent stalls as it stops the
 * run. Returns the runs of the task.
 */
async function simulateLoss(
    lossMs: number,
    lose: (deployment: EmulatedDeployment) => void,
): Promise<readonly RunRecord[]> {
    let stalled = false;
    const deployment = new EmulatedDeployment({
        entries: 2,
        agents: 2,
        seed: 1,
        cpu: 10 * TASK_CPU,
        taskCpu: TASK_CPU,
        clockRate: 0.98,
        work: task => ({ ms: task.startsWith(ID) ? RUN_MS : 5, how: "done" }),
        deliveryOf: (call, task, endpoint) => {
            stalled ||= call === "stop" && task.startsWith(ID);
            return stalled && endpoint === 0 ? CallDelivery.Lost : CallDelivery.Answered;
        },
    });
    deployment.deliverHeartbeat(1, 1, 2, true);
    await deployment.advance(WARMUP_MS);
    void deployment.submit(0, ID, 1, RUN_MS, undefined, 2 * RUN_MS);
    await deployment.advance(lossMs);
    lose(deployment);
    deployment.deliverHeartbeat(1, 1, 3);
    for (let passed = 0; passed < REPLACED_WITHIN_MS; passed += OTHER_JOB_MS) {
        void deployment.submit(1, passed.toString(16).padStart(16, "b"), 1, OTHER_ESTIMATE_MS, undefined, RUN_MS);
        await deployment.advance(OTHER_JOB_MS);
    }
    return deployment.records.filter(({ task }) => task.startsWith(ID));
}

/** Ways for an entry to lose an agent that goes on with its runs. */
const WAYS: Readonly<Record<string, (deployment: EmulatedDeployment) => void>> = {
    "the entry sees a reset that the agent does not see": ({ links }) => {
        const link = links.find(({ entry, agent }) => entry === 0 && agent === 0);
        assert.ok(link !== undefined);
        link.atEntry.dropsMessages = true;
        link.atEntry.close("reset");
    },
    "no message arrives in either direction": deployment => deployment.partition(0, 0, "both"),
    "reports of the agent do not arrive": deployment => deployment.partition(0, 0, "to_entry"),
};

describe("an agent that an entry has lost, stalled while its stops have no effect, at an endpoint with a slow clock", () => {
    for (const [name, lose] of Object.entries(WAYS)) {
        it(`guards against a second run elsewhere while the first is there: ${name}`, async () => {
            for (const lossMs of LOSSES_MS) {
                const runs = await simulateLoss(lossMs, lose);
                assert.equal(findOverlappingRuns(runs), undefined, `lost after ${lossMs} ms: ${JSON.stringify(runs)}`);
                assert.equal(runs.length, 2, `the task is started elsewhere, lost after ${lossMs} ms`);
            }
        });
    }
});
