import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { EmulatedDeployment } from "../../emulator/EmulatedDeployment.js";
import { StallingProcess } from "../../emulator/StallingProcess.js";

const RUN_MS = 600;
const BUDGET_MS = 4000;

/** Time until endpoints, agents and entries know each other; then the job is submitted. */
const WARMUP_MS = 500;

/** Interval at which a draining agent checks whether its runs have ended. */
const DRAIN_CHECK_MS = 25;

const GRACE_MS = 5000;

/** Duration of a turn of the event loop on a busy machine. */
const TURN_MS = 8;

/** Longest time from the end of a run to the response to its caller. */
const MAX_RESPONSE_MS = 100;

describe("an agent that is stopped while a run is at its endpoint", () => {
    for (let stopMs = 100; stopMs < 100 + DRAIN_CHECK_MS; stopMs += 1) {
        it(`guards against a finished run that is not reported before the process ends, stopped ${stopMs} ms after the job`, async () => {
            const deployment = new EmulatedDeployment({
                entries: 1,
                agents: 2,
                seed: 1,
                cpu: 64_000,
                taskCpu: 6000,
                work: () => ({ ms: RUN_MS, how: "done" }),
                createProcess: time => new StallingProcess(time, () => TURN_MS),
            });
            deployment.deliverHeartbeat(1, 1, 2, true);
            await deployment.advance(WARMUP_MS);
            let answeredAt = Number.POSITIVE_INFINITY;
            void deployment.submit(0, "00000000000000aa", 1, RUN_MS, undefined, BUDGET_MS).then(() => {
                answeredAt = deployment.clock.now();
            });
            await deployment.advance(stopMs);
            void deployment.stopAgent(0, GRACE_MS);
            deployment.deliverHeartbeat(1, 1, 3);
            await deployment.advance(BUDGET_MS);
            assert.equal(deployment.records.length, 1);
            const endedAt = deployment.records[0]?.to ?? 0;
            assert.ok(answeredAt - endedAt <= MAX_RESPONSE_MS, `${answeredAt - endedAt} ms`);
        });
    }
});
