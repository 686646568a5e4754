import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { CallDelivery } from "../../emulator/CallDelivery.js";
import type { EmulatedDeployment } from "../../emulator/EmulatedDeployment.js";
import { findOverlappingRuns } from "../../emulator/findOverlappingRuns.js";
import { startTwoAgents } from "../../emulator/startTwoAgents.js";

/** Time from the submission to the heartbeat of another incarnation. */
const RUNNING_MS = 100;

const RUN_MS = 1000;

/** Time from a heartbeat of another incarnation until the endpoint that answers gets tasks. */
const MAX_RESOLVE_MS = 30;

/** Time from the heartbeat of a new incarnation until a task of the earlier one runs elsewhere. */
const MAX_DETECT_MS = 150;

/** Polls in that time: one at the heartbeat, one after each stop, which is repeated every 60 ms, and two that wait. */
const MAX_POLLS = 6;

/** Id and start time that a heartbeat states. The start time is on a wall clock that may have jumped. */
interface Stated {
    readonly id: string;
    readonly bornMs: number;
}

const OTHER_ID = { id: "endpoint-0-before", bornMs: 50 };
const SAME_ID = { id: "endpoint-0", bornMs: 50 };

interface Simulation {
    readonly deployment: EmulatedDeployment;
    /** Number of polls of endpoint 0 so far. */
    readonly countPolls: () => number;
}

/** Deployment with a run at endpoint 0; endpoint 1 gets tasks from then on. */
async function startRun(): Promise<Simulation> {
    let polls = 0;
    const deployment = await startTwoAgents({
        cpu: 6000,
        work: () => ({ ms: RUN_MS, how: "done" }),
        resetsConnectionsAtCrash: true,
        deliveryOf: (call, _task, endpoint) => {
            polls += call === "look" && endpoint === 0 ? 1 : 0;
            return CallDelivery.Answered;
        },
    });
    void deployment.submit(0, "00000000000000aa", 1, RUN_MS, undefined, 4 * RUN_MS);
    await deployment.advance(RUNNING_MS);
    deployment.deliverHeartbeat(1, 1, 3);
    return { deployment, countPolls: () => polls };
}

function deliverStated(deployment: EmulatedDeployment, { id, bornMs }: Stated): void {
    deployment.deliverHeartbeat(0, bornMs, 7, false, id);
}

describe("a heartbeat that was delayed until its sender had crashed", () => {
    for (const stated of [OTHER_ID, SAME_ID]) {
        it(`guards against a second run beside the one that goes on at the live endpoint, heartbeat of ${stated.id}`, async () => {
            const { deployment } = await startRun();
            deliverStated(deployment, stated);
            await deployment.advance(3 * RUN_MS);
            assert.equal(findOverlappingRuns(deployment.records), undefined);
            assert.deepEqual(deployment.records.map(({ how }) => how), ["done"]);
        });

        it(`guards against a live endpoint that gets no more tasks, heartbeat of ${stated.id}`, async () => {
            const { deployment } = await startRun();
            await deployment.advance(RUN_MS);
            deployment.deliverHeartbeat(1, 1, 4, true);
            await deployment.advance(RUNNING_MS);
            deliverStated(deployment, stated);
            await deployment.advance(MAX_RESOLVE_MS);
            const submittedAt = deployment.clock.now();
            void deployment.submit(0, "00000000000000bb", 1, RUN_MS, undefined, 2 * RUN_MS);
            await deployment.advance(RUN_MS);
            const waitedMs = (deployment.records[1]?.from ?? Number.POSITIVE_INFINITY) - submittedAt;
            assert.ok(waitedMs <= MAX_RESOLVE_MS, `${waitedMs} ms`);
        });
    }

    for (const stated of [OTHER_ID, SAME_ID]) {
        it(`guards against a true restart that is detected late, as ${stated.id}`, async () => {
            const { deployment, countPolls } = await startRun();
            deployment.endpoints[0]?.restart(stated.bornMs, stated.id);
            const polls = countPolls();
            const restartedAt = deployment.clock.now();
            deliverStated(deployment, stated);
            await deployment.advance(MAX_DETECT_MS);
            const detectedMs = (deployment.records[1]?.from ?? Number.POSITIVE_INFINITY) - restartedAt;
            assert.ok(detectedMs <= MAX_DETECT_MS, `${detectedMs} ms`);
            assert.ok(countPolls() - polls <= MAX_POLLS, `${countPolls() - polls} polls`);
            assert.equal(findOverlappingRuns(deployment.records), undefined);
        });
    }

    // The wall clock was set back meanwhile.
    it("guards against an endpoint under a new id that is ignored because of its earlier start time", async () => {
        const { deployment } = await startRun();
        const restarted = { id: "endpoint-0-after", bornMs: 0 };
        deployment.endpoints[0]?.restart(restarted.bornMs, restarted.id);
        deployment.deliverHeartbeat(1, 1, 4, true);
        await deployment.advance(RUNNING_MS);
        deliverStated(deployment, restarted);
        await deployment.advance(RUN_MS);
        assert.ok(deployment.records.some(({ endpoint }) => endpoint === restarted.id));
    });
});
