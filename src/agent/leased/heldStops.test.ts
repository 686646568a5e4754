import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { CallDelivery } from "../../emulator/CallDelivery.js";
import { EmulatedDeployment } from "../../emulator/EmulatedDeployment.js";

const ID = "00000000000000aa";

/** Time until endpoints, agents and entries know each other; then the job is submitted. */
const WARMUP_MS = 500;

/** Run time of the job's task. */
const RUN_MS = 3000;

/** A caller that has lost its response submits again after this time. */
const RESUBMIT_MS = 1300;

/**
 * Times after the job at which the entry loses its caller, at several places between two renewals of its entry lease.
 */
const LOST_AFTER_MS = [100, 150, 200, 250];

/** Interval of the other jobs, where there are any. */
const OTHER_JOB_MS = 50;

interface Scenario {
    readonly lostAfterMs: number;
    /** Either the caller disconnects, or the agent receives no more messages of the entry. */
    readonly loss: "caller" | "entry";
    /** Whether the endpoint gets other tasks meanwhile. */
    readonly otherJobs: boolean;
}

/**
 * Simulates a job at an endpoint that receives no stops but answers all other calls; returns how long its run goes on
 * after the loss.
 */
async function simulateHeldStops({ lostAfterMs, loss, otherJobs }: Scenario): Promise<number> {
    const deployment = new EmulatedDeployment({
        entries: 2,
        agents: 1,
        seed: 1,
        cpu: 64_000,
        taskCpu: 6000,
        clockRate: 0.98,
        work: task => ({ ms: task.startsWith(ID) ? RUN_MS : 20, how: "done" }),
        deliveryOf: call => call === "stop" ? CallDelivery.Lost : CallDelivery.Answered,
    });
    const caller = new AbortController();
    await deployment.advance(WARMUP_MS);
    void deployment.submit(0, ID, 1, RUN_MS, caller.signal, 2 * RUN_MS);
    for (let nowMs = 0; nowMs < RUN_MS + WARMUP_MS; nowMs += 1) {
        if (nowMs === lostAfterMs && loss === "caller") {
            caller.abort();
        }
        if (nowMs === lostAfterMs && loss === "entry") {
            deployment.partition(0, 0, "to_agent");
        }
        if (otherJobs && nowMs % OTHER_JOB_MS === 0) {
            void deployment.submit(1, nowMs.toString(16).padStart(16, "0"), 1, 20);
        }
        await deployment.advance(1);
    }
    const record = deployment.records.find(({ task }) => task.startsWith(ID));
    assert.ok(record !== undefined, "the job's task has run");
    return (record.to ?? Number.POSITIVE_INFINITY) - WARMUP_MS - lostAfterMs;
}

describe("an endpoint that receives no stops but answers polls", () => {
    for (const lostAfterMs of LOST_AFTER_MS) {
        // Each poll renews the endpoint lease, which also holds for the run that is to end.
        it(`guards against a run that outlives its caller until it submits again, disconnected after ${lostAfterMs} ms`, async () => {
            const outlivedMs = await simulateHeldStops({ lostAfterMs, loss: "caller", otherJobs: false });
            assert.ok(outlivedMs < RESUBMIT_MS, `${outlivedMs} ms`);
        });

        // The entry lease and then the endpoint lease expire: together within the time after which the caller submits
        // again.
        it(`guards against a run that outlives its entry until its caller submits again, lost after ${lostAfterMs} ms`, async () => {
            const outlivedMs = await simulateHeldStops({ lostAfterMs, loss: "entry", otherJobs: false });
            assert.ok(outlivedMs < RESUBMIT_MS, `${outlivedMs} ms`);
        });

        // A start renews the endpoint lease as a poll does.
        it(`guards against a run that starts of other tasks keep alive, caller disconnected after ${lostAfterMs} ms`, async () => {
            const outlivedMs = await simulateHeldStops({ lostAfterMs, loss: "caller", otherJobs: true });
            assert.ok(outlivedMs < RESUBMIT_MS, `${outlivedMs} ms`);
        });
    }
});
