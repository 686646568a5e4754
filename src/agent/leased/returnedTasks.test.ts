import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { RunResult } from "../../common/leased/RunResult.js";
import { CallDelivery } from "../../emulator/CallDelivery.js";
import { EmulatedRuns } from "../../emulator/EmulatedRuns.js";
import { StartOutcome } from "./StartOutcome.js";

/** Time after the order at which the first start is executed: after the restart and the response to the second start. */
const START_DELAY_MS = 100;

/** Longest time from a rejected start to the return of its task when every start was answered. */
const MAX_RETURN_MS = 10;

/** Time after which no start is executed late any more. */
const MAX_LATE_MS = 5500;

/** Time from the start of an incarnation until the first poll reaches it and its response arrives. */
const FIRST_POLL_MS = 165;

/** Longer than it takes to return a task whose endpoint answers. */
const SETTLE_MS = 1000;

interface ReturnedTask {
    readonly scenario: EmulatedRuns;
    /** Runs at the endpoint in the milliseconds after the task was returned. */
    readonly runsAfterReturn: number;
}

/**
 * Orders a task whose first start is late: the incarnation of the endpoint that it was sent to rules it out, and the
 * next one, which executes it, answers the second start with `rejection`. Aborts the order where `aborts` says so.
 */
async function simulateRejection(rejection: StartOutcome, aborts: boolean): Promise<ReturnedTask> {
    let starts = 0;
    let pollsLost = false;
    const scenario = new EmulatedRuns({
        runMs: SETTLE_MS,
        deliveryDelayMs: START_DELAY_MS,
        deliveryOf: call => {
            starts += call === "start" ? 1 : 0;
            if (call === "start" && starts === 1) {
                return CallDelivery.Delayed;
            }
            // The fence of a poll would rule the first start out in the next incarnation.
            return call === "look" && pollsLost ? CallDelivery.Lost : CallDelivery.Answered;
        },
        rejectionOf: run => {
            if (run === 2) {
                pollsLost = true;
                scenario.endpoint.restart(2);
            }
            return run === 1 ? undefined : rejection;
        },
    });
    await scenario.warmUp();
    scenario.order();
    let runsAfterReturn = 0;
    for (let nowMs = 0; nowMs < SETTLE_MS; nowMs += 1) {
        await scenario.advance(1);
        if (nowMs === START_DELAY_MS) {
            pollsLost = false;
            scenario.announce();
        }
        if (aborts && nowMs === START_DELAY_MS - 10) {
            scenario.runs.abort("entry", [scenario.task], "cancelled");
        }
        runsAfterReturn += scenario.completions.length > 0 ? scenario.runningCount : 0;
    }
    scenario.dispose();
    return { scenario, runsAfterReturn };
}

describe("a task that is returned without a run", () => {
    const REJECTIONS = [
        { rejection: StartOutcome.Unhealthy, aborts: false },
        { rejection: StartOutcome.Invalid, aborts: false },
        { rejection: StartOutcome.Late, aborts: false },
        { rejection: StartOutcome.OtherIncarnation, aborts: false },
        { rejection: StartOutcome.NoRoom, aborts: true },
        // The task waits until the next incarnation is found.
        { rejection: StartOutcome.NoRoom, aborts: false },
    ];
    for (const { rejection, aborts } of REJECTIONS) {
        // The second start was not executed, but the first one still is, in the incarnation that has answered.
        it(`guards against a run of a task returned although an earlier start was not answered, answer "${rejection}"${aborts ? ", aborted" : ""}`, async () => {
            const { scenario, runsAfterReturn } = await simulateRejection(rejection, aborts);
            assert.equal(runsAfterReturn, 0);
            assert.equal(scenario.completions.length, 1);
        });
    }

    // A task whose starts were all answered has no start that could still be executed.
    it("guards against a refused task that is kept although all its starts were answered", async () => {
        const scenario = new EmulatedRuns({ rejectionOf: () => StartOutcome.Unhealthy });
        await scenario.warmUp();
        scenario.order();
        await scenario.advance(MAX_RETURN_MS);
        scenario.dispose();
        assert.deepEqual(scenario.completions.map(({ result }) => result), [RunResult.Refused]);
    });
});

describe("a deregistered endpoint with a late start of a task that was returned", () => {
    // The agent stops polling the endpoint without runs, so only the next heartbeat would show the run.
    it("guards against a run that nobody has noticed until the next heartbeat", async () => {
        const scenario = new EmulatedRuns({
            runMs: SETTLE_MS,
            deliveryDelayMs: SETTLE_MS,
            deliveryOf: call => call === "start" ? CallDelivery.Delayed : CallDelivery.Answered,
        });
        await scenario.warmUp();
        scenario.order();
        scenario.runs.abort("entry", [scenario.task], "cancelled");
        await scenario.advance(SETTLE_MS / 2);
        assert.equal(scenario.completions.length, 1);
        scenario.session.handleDeregistration();
        await scenario.advance(SETTLE_MS / 4);
        scenario.endpoint.restart(2);
        await scenario.advance(SETTLE_MS / 2);
        assert.equal(scenario.runningCount, 0);
        scenario.dispose();
    });

    // Late starts are executed some seconds later at most.
    it("guards against a departed endpoint that is polled for ever", async () => {
        let polls = 0;
        const scenario = new EmulatedRuns({
            deliveryOf: call => {
                polls += call === "look" ? 1 : 0;
                return call === "start" ? CallDelivery.Lost : CallDelivery.Answered;
            },
        });
        await scenario.warmUp();
        scenario.order();
        scenario.runs.abort("entry", [scenario.task], "cancelled");
        await scenario.advance(SETTLE_MS / 2);
        scenario.session.handleDeregistration();
        await scenario.advance(MAX_LATE_MS);
        polls = 0;
        await scenario.advance(SETTLE_MS);
        scenario.dispose();
        assert.equal(polls, 0);
    });
});

describe("an endpoint that crashes and starts again after it has ruled a late start out", () => {
    // The task was returned before the crash, so only the fence can prevent that the next incarnation executes its start.
    it("guards against a start that is executed after the first poll of the incarnation, whose response is lost", async () => {
        let restarted = false;
        const scenario = new EmulatedRuns({
            deliveryDelayMs: SETTLE_MS + FIRST_POLL_MS,
            deliveryOf: call => {
                if (call === "start") {
                    return CallDelivery.Delayed;
                }
                return restarted ? CallDelivery.AnswerLost : CallDelivery.Answered;
            },
        });
        await scenario.warmUp();
        scenario.order();
        scenario.runs.abort("entry", [scenario.task], "cancelled");
        await scenario.advance(SETTLE_MS / 2);
        assert.equal(scenario.completions.length, 1);
        scenario.endpoint.crash();
        await scenario.advance(SETTLE_MS / 2);
        scenario.endpoint.restart(2);
        restarted = true;
        await scenario.advance(SETTLE_MS);
        scenario.dispose();
        assert.deepEqual(scenario.endpoint.records, []);
    });

    // The last list of the incarnation does not show the run, which ended with it; the next one executes the first start.
    it("guards against a run of a task returned because a list of the ending incarnation does not show its run", async () => {
        let starts = 0;
        const scenario = new EmulatedRuns({
            runMs: SETTLE_MS,
            deliveryDelayMs: SETTLE_MS / 2,
            resetsConnectionsAtCrash: false,
            deliveryOf: call => {
                starts += call === "start" ? 1 : 0;
                return call === "start" && starts === 1 ? CallDelivery.Delayed : CallDelivery.Answered;
            },
        });
        await scenario.warmUp();
        scenario.order();
        await scenario.advance(SETTLE_MS / 4);
        scenario.endpoint.crash();
        await scenario.advance(SETTLE_MS / 4 - MAX_RETURN_MS);
        scenario.endpoint.restart(2);
        let runsAfterReturn = 0;
        for (let nowMs = 0; nowMs < SETTLE_MS; nowMs += 1) {
            await scenario.advance(1);
            runsAfterReturn += scenario.completions.length > 0 ? scenario.runningCount : 0;
        }
        scenario.dispose();
        assert.equal(scenario.completions.length, 1);
        assert.equal(runsAfterReturn, 0);
    });

    // The incarnation has no runs, so its response would come only at the end of the wait.
    it("guards against an incarnation that is found only once its first poll has waited", async () => {
        const scenario = new EmulatedRuns({});
        await scenario.warmUp();
        scenario.endpoint.crash();
        await scenario.advance(SETTLE_MS / 2);
        scenario.endpoint.restart(2);
        await scenario.advance(FIRST_POLL_MS);
        scenario.dispose();
        assert.equal(scenario.session.report?.life.bornMs, 2);
    });
});

describe("an endpoint that deregisters while a start is not answered yet", () => {
    // It takes no new runs, and may end at any time.
    it("guards against a task that is started again at an endpoint that has deregistered", async () => {
        let starts = 0;
        const scenario = new EmulatedRuns({
            deliveryOf: call => {
                starts += call === "start" ? 1 : 0;
                return call === "start" ? CallDelivery.Lost : CallDelivery.Answered;
            },
        });
        await scenario.warmUp();
        scenario.order();
        await scenario.advance(MAX_RETURN_MS);
        scenario.session.handleDeregistration();
        await scenario.advance(SETTLE_MS);
        scenario.dispose();
        assert.equal(starts, 1);
        assert.deepEqual(scenario.completions.map(({ result }) => result), [RunResult.NotStarted]);
    });
});
