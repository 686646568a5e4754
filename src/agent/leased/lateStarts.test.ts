import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { CallDelivery } from "../../emulator/CallDelivery.js";
import { EmulatedDeployment } from "../../emulator/EmulatedDeployment.js";
import type { EndpointCallKind } from "../../emulator/EndpointCallKind.js";
import { findOverlappingRuns } from "../../emulator/findOverlappingRuns.js";
import type { RunRecord } from "../../emulator/RunRecord.js";

const ID = "00000000000000aa";

/** Time until endpoints, agents and entries know each other; then the job is submitted. */
const WARMUP_MS = 500;

/** Longer than any of these simulations, so that a second run cannot come after the first. */
const RUN_MS = 3000;

/** Time after the job from which on tasks are placed at endpoint 1. */
const SWITCH_MS = 5;

/**
 * Time after the job of a restart that comes after the endpoint has accepted the first stop, and before the poll that
 * follows the response.
 */
const RESTART_MS = 79;

/** Delays after which the first start is executed soon after a restart, before the agent has reached the endpoint. */
const START_DELAYS_MS = [201, 205, 210, 220, 240];

/** Time after the job at which the caller disconnects, where it does. */
const DISCONNECT_MS = 20;

/** A caller that has lost its response submits again after this time. */
const RESUBMIT_MS = 1300;

/** Events at the endpoint of the first start, at times after the job. */
interface Scenario {
    /** Time at which the caller disconnects; undefined when it stays. */
    readonly disconnectMs?: number;
    readonly crashMs?: number;
    /** Undefined when the endpoint does not start again. */
    readonly restartMs?: number;
    /** Delay after which the first start is carried out. */
    readonly startDelayMs: number;
    /** Delivery of other calls to the endpoint of the first start. */
    readonly deliver?: (call: EndpointCallKind, sinceJobMs: number) => CallDelivery;
}

/**
 * Simulates one job whose first start, at endpoint 0, is carried out after the endpoint has begun a new incarnation
 * under its id.
 */
async function simulateLateStart(scenario: Scenario): Promise<EmulatedDeployment> {
    const { disconnectMs, crashMs, restartMs, startDelayMs, deliver } = scenario;
    const caller = new AbortController();
    let starts = 0;
    let nowMs = -WARMUP_MS;
    const deployment = new EmulatedDeployment({
        entries: 1,
        agents: 2,
        seed: 1,
        cpu: 64_000,
        taskCpu: 6000,
        work: () => ({ ms: RUN_MS, how: "done" }),
        acceptsCallsToEarlierIncarnations: true,
        refusesWhileDown: true,
        deliveryDelayMs: () => startDelayMs,
        deliveryOf: (call, _task, endpoint) => {
            starts += call === "start" ? 1 : 0;
            if (call === "start" && starts === 1) {
                return CallDelivery.Delayed;
            }
            return endpoint === 0 ? deliver?.(call, nowMs) ?? CallDelivery.Answered : CallDelivery.Answered;
        },
    });
    deployment.deliverHeartbeat(1, 1, 2, true);
    await deployment.advance(WARMUP_MS);
    void deployment.submit(0, ID, 1, RUN_MS, caller.signal, 2 * RUN_MS);
    for (nowMs = 0; nowMs < RUN_MS; nowMs += 1) {
        if (nowMs === disconnectMs) {
            caller.abort();
        }
        if (nowMs === crashMs) {
            deployment.endpoints[0]?.crash();
        }
        if (nowMs === restartMs) {
            deployment.endpoints[0]?.restart(2);
        }
        if (nowMs === SWITCH_MS) {
            deployment.deliverHeartbeat(0, 1, 2, true);
            deployment.deliverHeartbeat(1, 1, 3);
        }
        await deployment.advance(1);
    }
    return deployment;
}

/** Whether nothing has ended the run before its task is done. */
function isWhole({ how }: RunRecord): boolean {
    return how === "done" || how === undefined;
}

describe("a start that is carried out in the next incarnation of its endpoint", () => {
    // The stop was accepted by the earlier incarnation; the list that follows is of the next one and rules nothing out.
    it("guards against a list of another incarnation than the one that accepted the stop", async () => {
        const deployment = await simulateLateStart({
            restartMs: RESTART_MS,
            startDelayMs: 300,
            deliver: (call, sinceJobMs) =>
                call === "stop" && sinceJobMs > RESTART_MS ? CallDelivery.Lost : CallDelivery.Answered,
        });
        assert.equal(findOverlappingRuns(deployment.records), undefined);
    });

    for (const crashMs of [30, 67, 100]) {
        for (const restartMs of [150, 200]) {
            // The task is kept until its start is ruled out; polls must not renew the lease of a run of it meanwhile.
            it(`guards against a run that outlives its caller, crash after ${crashMs} ms, restart after ${restartMs} ms`, async () => {
                const deployment = await simulateLateStart({
                    disconnectMs: DISCONNECT_MS,
                    crashMs,
                    restartMs,
                    startDelayMs: restartMs + 5,
                    deliver: call => call === "stop" ? CallDelivery.Lost : CallDelivery.Answered,
                });
                for (const { to = Number.POSITIVE_INFINITY } of deployment.records) {
                    const outlivedMs = to - WARMUP_MS - DISCONNECT_MS;
                    assert.ok(outlivedMs < RESUBMIT_MS, `${outlivedMs} ms`);
                }
            });
        }
    }

    // Refused connections end the earlier incarnation, but not the start that is in flight to the endpoint's id.
    it("guards against a run beside that of a task returned when connections were refused", async () => {
        const deployment = await simulateLateStart({ crashMs: 10, restartMs: 200, startDelayMs: 700 });
        assert.equal(findOverlappingRuns(deployment.records), undefined);
    });

    // A stop prevents a later start only in the incarnation that has accepted it.
    it("guards against a run beside that of a task that only an earlier incarnation has ruled out", async () => {
        const deployment = await simulateLateStart({
            restartMs: 500,
            startDelayMs: 1000,
            deliver: (call, sinceJobMs) =>
                call === "stop" && sinceJobMs < 420 ? CallDelivery.Lost : CallDelivery.Answered,
        });
        assert.equal(findOverlappingRuns(deployment.records), undefined);
    });

    for (const startDelayMs of START_DELAYS_MS) {
        // The earlier incarnation has ruled the first start out and ends while it runs the second one.
        it(`guards against a run beside that of a task whose start a crashed incarnation has ruled out, ${startDelayMs} ms before`, async () => {
            const deployment = await simulateLateStart({ crashMs: 100, restartMs: 200, startDelayMs });
            assert.equal(findOverlappingRuns(deployment.records), undefined);
            assert.ok(deployment.records.some(isWhole));
        });
    }

    // A start to an endpoint that is down was not executed, but an earlier one of the task may still be.
    it("guards against a run beside that of a task returned at a refused connection after an unanswered start", async () => {
        const deployment = await simulateLateStart({
            crashMs: 67,
            restartMs: 200,
            startDelayMs: 205,
        });
        assert.equal(findOverlappingRuns(deployment.records), undefined);
        assert.ok(deployment.records.some(isWhole));
    });

    // Nothing proves the end of the start while the endpoint is away.
    it("guards against a task that is not placed again when its endpoint does not start again", async () => {
        const deployment = await simulateLateStart({ crashMs: 100, startDelayMs: 2000 });
        assert.ok(deployment.records.some(isWhole));
    });
});
