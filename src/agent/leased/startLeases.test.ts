import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { LEASE_TIMES } from "../../common/leased/LEASE_TIMES.js";
import { CallDelivery } from "../../emulator/CallDelivery.js";
import { EmulatedRuns } from "../../emulator/EmulatedRuns.js";

const OTHER_JOB = "00000000000000bb";

/** Time that the task takes, longer than any lease. */
const RUN_MS = 4000;

/** Time from a poll until it counts as unanswered. */
const POLL_TIMEOUT_MS = 320;

/** Times of the order before the end of that poll. */
const ORDERS_MS = [5, 8, 11, 14, 17, 20, 23, 26, 29, 32];

/** Time within which the run ends and the agent reports it. */
const SETTLE_MS = 1500;

/**
 * Orders two tasks while a poll is not answered. The endpoint starts the first, does not get the start of the second,
 * and deregisters at once. It goes on without answering polls, so the second task leads to a poll after each stop.
 * Returns the milliseconds for which the run went on after the agent had reported its end.
 */
async function simulateLeaving(orderMs: number): Promise<number> {
    let polls = CallDelivery.Answered as CallDelivery;
    let starts = 0;
    let sentAt: number | undefined;
    const scenario: EmulatedRuns = new EmulatedRuns({
        runMs: RUN_MS,
        deliveryOf: call => {
            if (call !== "look") {
                starts += call === "start" ? 1 : 0;
                return call === "start" && starts === 2 ? CallDelivery.Lost : CallDelivery.Answered;
            }
            if (polls === CallDelivery.Lost) {
                sentAt ??= scenario.clock.now();
            }
            return polls;
        },
    });
    await scenario.warmUp();
    polls = CallDelivery.Lost;
    while (sentAt === undefined) {
        await scenario.advance(1);
    }
    await scenario.advance(sentAt + POLL_TIMEOUT_MS - orderMs - scenario.clock.now());
    scenario.order();
    scenario.runs.acceptOrder("entry", {
        kind: "run",
        order: 2,
        job: OTHER_JOB,
        spec: "",
        need: { cpu: 6000, memoryMb: 1, gpu: 0 },
        estimateMs: RUN_MS,
        tenureUntilMs: 0,
        startBeforeMs: (scenario.session.clockMs ?? 0) + LEASE_TIMES.START_WINDOW_MS,
        tasks: [{ name: `${OTHER_JOB}.0.0.0`, run: 1 }],
    });
    await scenario.advance(4);
    polls = CallDelivery.ConnectionReset;
    scenario.session.handleDeregistration();
    let afterReportMs = 0;
    for (let passed = 0; passed < SETTLE_MS; passed += 1) {
        await scenario.advance(1);
        const isReported = scenario.completions.some(({ task }) => task === scenario.task);
        afterReportMs += isReported ? scenario.runningCount : 0;
    }
    scenario.dispose();
    return afterReportMs;
}

describe("the end of an endpoint lease that a start has renewed after the last poll", () => {
    for (const orderMs of ORDERS_MS) {
        it(`guards against a run that is reported as ended while its lease goes on, start ${orderMs} ms before the end of the poll`, async () => {
            assert.equal(await simulateLeaving(orderMs), 0);
        });
    }
});
