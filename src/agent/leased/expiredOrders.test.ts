import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { EmulatedDeployment } from "../../emulator/EmulatedDeployment.js";

const ID = "00000000000000aa";
const RUN_MS = 1000;
const BUDGET_MS = 4000;

/** Time until endpoints, agents and entries know each other; then the job is submitted. */
const WARMUP_MS = 500;

/** Time after the submission at which the caller leaves the first entry. */
const DISCONNECT_MS = 10;

/** A caller that has lost its response submits again after this time. */
const RESUBMIT_MS = 1300;

/** Time from the second submission until the order of the first entry arrives, long after its start window. */
const LATE_MS = 100;

describe("a run order that arrives when its start window and its entry lease are over", () => {
    it("guards against the run of the caller's second submission being stopped for it", async () => {
        const deployment = new EmulatedDeployment({
            entries: 2,
            agents: 1,
            seed: 1,
            cpu: 64_000,
            taskCpu: 6000,
            work: () => ({ ms: RUN_MS, how: "done" }),
        });
        await deployment.advance(WARMUP_MS);
        const link = deployment.links.find(({ entry }) => entry === 0);
        link?.atEntry.hold();
        const caller = new AbortController();
        void deployment.submit(0, ID, 1, RUN_MS, caller.signal, BUDGET_MS);
        await deployment.advance(DISCONNECT_MS);
        caller.abort();
        await deployment.advance(RESUBMIT_MS);
        const outcome = deployment.submit(1, ID, 1, RUN_MS, undefined, BUDGET_MS);
        await deployment.advance(LATE_MS);
        link?.atEntry.release();
        await deployment.advance(BUDGET_MS);
        assert.deepEqual(deployment.records.map(({ how }) => how), ["done"]);
        assert.equal((await outcome).kind, "completed");
    });
});
