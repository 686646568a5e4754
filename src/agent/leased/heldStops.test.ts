import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { CallDelivery } from "../../emulator/CallDelivery.js";
import { EmulatedDeployment } from "../../emulator/EmulatedDeployment.js";

const ID = "00000000000000aa";

/** Time until endpoints, agents and entries know each other; then the job is submitted. */
const LEAD_MS = 500;

/** How long the job's task would run. */
const RUN_MS = 3000;

/** A caller that lost its answer submits again after this time. */
const RESUBMIT_MS = 1300;

/** When the entry loses its caller, after the job: at several places between two renewals of its tenure. */
const LOST_AFTER_MS = [100, 150, 200, 250];

/** Another job each so many milliseconds, where there are any. */
const OTHER_JOB_MS = 50;

interface Play {
    readonly lostAfterMs: number;
    /** Whether the caller leaves, or the agent hears nothing of the entry any more. */
    readonly loss: "caller" | "entry";
    /** Whether the endpoint is given other tasks meanwhile. */
    readonly otherJobs: boolean;
}

/** Plays a job at an endpoint that takes no stops but answers all else; returns how long its run goes on after the loss. */
async function playHeldStops({ lostAfterMs, loss, otherJobs }: Play): Promise<number> {
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
    await deployment.advance(LEAD_MS);
    void deployment.submit(0, ID, 1, RUN_MS, caller.signal, 2 * RUN_MS);
    for (let nowMs = 0; nowMs < RUN_MS + LEAD_MS; nowMs += 1) {
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
    return (record.to ?? Number.POSITIVE_INFINITY) - LEAD_MS - lostAfterMs;
}

describe("an endpoint that takes no stops but answers looks", () => {
    for (const lostAfterMs of LOST_AFTER_MS) {
        // Each look renews the lease of everything there, also of the run that is to end.
        it(`guards against a run that outlives its caller until it submits again, left after ${lostAfterMs} ms`, async () => {
            const goneMs = await playHeldStops({ lostAfterMs, loss: "caller", otherJobs: false });
            assert.ok(goneMs < RESUBMIT_MS, `${goneMs} ms`);
        });

        // Tenure, then lease: both together stay below the time after which the caller submits again.
        it(`guards against a run that outlives its entry until its caller submits again, lost after ${lostAfterMs} ms`, async () => {
            const goneMs = await playHeldStops({ lostAfterMs, loss: "entry", otherJobs: false });
            assert.ok(goneMs < RESUBMIT_MS, `${goneMs} ms`);
        });

        // A start renews the lease of everything at its endpoint as a look does.
        it(`guards against a run that starts of other tasks keep alive, left after ${lostAfterMs} ms`, async () => {
            const goneMs = await playHeldStops({ lostAfterMs, loss: "caller", otherJobs: true });
            assert.ok(goneMs < RESUBMIT_MS, `${goneMs} ms`);
        });
    }
});
