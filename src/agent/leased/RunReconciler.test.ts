import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { CallDelivery } from "../../emulator/CallDelivery.js";
import { findOverlappingRuns } from "../../emulator/findOverlappingRuns.js";
import type { RunRecord } from "../../emulator/RunRecord.js";
import { startTwoAgents } from "../../emulator/startTwoAgents.js";

const ID = "00000000000000aa";

const RUN_MS = 1000;

/** Time during which all run orders go to endpoint 1, which refuses connections. */
const REFUSING_MS = 5;

interface Scenario {
    /** Run number of the run that an earlier process of agent 0 has started. */
    readonly orphanedRun: number;
    /** Delivery of the first stop at endpoint 0. */
    readonly firstStop: CallDelivery;
    /**
     * Whether starts at endpoint 1 are refused first, so that the order for endpoint 0 has a higher run number than the
     * orphaned run.
     */
    readonly refusedFirst: boolean;
}

/** Submits the job when agent 0 has seen an orphaned run of its task, and has sent a stop for it. */
async function simulateOrphanedRun({ orphanedRun, firstStop, refusedFirst }: Scenario): Promise<readonly RunRecord[]> {
    let stops = 0;
    const deployment = await startTwoAgents({
        work: () => ({ ms: RUN_MS, how: "done" }),
        refusesWhileDown: true,
        deliveryOf: call => {
            stops += call === "stop" ? 1 : 0;
            return call === "stop" && stops === 1 ? firstStop : CallDelivery.Answered;
        },
    }, refusedFirst ? 0 : 1);
    void deployment.endpoints[0]?.start({
        endpoint: "endpoint-0",
        fence: 1,
        task: `${ID}.0.0.0`,
        run: orphanedRun,
        spec: "spec",
        untilMs: deployment.clock.now() + 400,
        timeoutMs: 40,
    });
    while (stops === 0) {
        await deployment.advance(1);
    }
    if (refusedFirst) {
        deployment.endpoints[1]?.crash();
    }
    void deployment.submit(0, ID, 1, RUN_MS);
    await deployment.advance(REFUSING_MS);
    deployment.deliverHeartbeat(0, 1, 3);
    await deployment.advance(2 * RUN_MS);
    return deployment.records;
}

describe("RunReconciler", () => {
    describe("an orphaned run in the run list", () => {
        // A start under a higher run number begins a second run, because nothing has made that number stale.
        it("guards against a run under a higher run number beside one that is being stopped", async () => {
            const records = await simulateOrphanedRun({
                orphanedRun: 1,
                firstStop: CallDelivery.Answered,
                refusedFirst: true,
            });
            assert.equal(findOverlappingRuns(records), undefined);
            assert.equal(records.at(-1)?.how, "done");
        });

        // The endpoint has received no stop, so a start under any other run number begins a second run.
        it("guards against a run under a lower run number beside one whose stop is lost", async () => {
            const records = await simulateOrphanedRun({
                orphanedRun: 2,
                firstStop: CallDelivery.Lost,
                refusedFirst: false,
            });
            assert.equal(findOverlappingRuns(records), undefined);
        });

        // The run numbers after the rejected one exceed the number of the run that made it stale.
        it("guards against a run after rejected starts beside one that is being stopped", async () => {
            const records = await simulateOrphanedRun({
                orphanedRun: 2,
                firstStop: CallDelivery.Answered,
                refusedFirst: false,
            });
            assert.equal(findOverlappingRuns(records), undefined);
        });
    });
});
