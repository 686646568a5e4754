import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { LEASE_TIMES } from "../../common/leased/LEASE_TIMES.js";
import { NO_RESOURCES } from "../../common/leased/NO_RESOURCES.js";
import { RunResult } from "../../common/leased/RunResult.js";
import { SilentLog } from "../../common/log/SilentLog.js";
import { VirtualClock } from "../../common/VirtualClock.js";
import { CallDelivery } from "../../emulator/CallDelivery.js";
import { EmulatedDeployment } from "../../emulator/EmulatedDeployment.js";
import { EmulatedEndpoint } from "../../emulator/EmulatedEndpoint.js";
import { findOverlappingRuns } from "../../emulator/findOverlappingRuns.js";
import { EndpointRuns } from "./EndpointRuns.js";
import { EndpointSession } from "./EndpointSession.js";

const ID = "00000000000000aa";
const SETUP = { entries: 1, seed: 1, cpu: 64_000, taskCpu: 6000 } as const;

/** Time until endpoints, agents and entries know each other; then the job is submitted. */
const WARMUP_MS = 500;

/** Wait of a poll for a finished run: polls sent earlier than this before the job show nothing of it. */
const POLL_WAIT_MS = 200;

const TASK = `${ID}.0.0.0`;

const ORDER = {
    kind: "run",
    order: 1,
    job: ID,
    spec: "",
    need: { cpu: SETUP.taskCpu, memoryMb: 1, gpu: 0 },
    estimateMs: 300,
    tenureUntilMs: 0,
    tasks: [{ name: TASK, run: 1 }],
} as const;

const HEARTBEAT = {
    life: { id: "endpoint", bornMs: 1 },
    service: "service",
    capacity: { cpu: SETUP.cpu, memoryMb: 1000, gpu: 0 },
    labels: [],
    draining: false,
    sequence: 1,
};

/** Advances the clock in steps, between which promises settle. */
async function pass(clock: VirtualClock, ms: number): Promise<void> {
    for (let passed = 0; passed < ms; passed += 1) {
        clock.advance(1);
        await new Promise(resolve => setImmediate(resolve));
    }
}

describe("RunCalls", () => {
    // Case 2 of docs/incidents/2026-12-04-two-owners.md: two runs of a task at once at one endpoint, after a lost answer.
    describe("an unanswered start whose polls are reset (issue 25, case 2)", () => {
        // The poll after the stop fails at once, while the run that the stop ends is there for 50 ms more.
        it("guards against a second run under the next run number while the first one is being stopped", async () => {
            let starts = 0;
            const deployment = new EmulatedDeployment({
                ...SETUP,
                agents: 1,
                work: () => ({ ms: 300, how: "done" }),
                deliveryOf: call => {
                    starts += call === "start" ? 1 : 0;
                    if (call === "start" && starts === 1) {
                        return CallDelivery.AnswerReset;
                    }
                    return call === "look" && starts === 1 ? CallDelivery.ConnectionReset : CallDelivery.Answered;
                },
            });
            await deployment.advance(WARMUP_MS);
            void deployment.submit(0, ID, 1, 300);
            await deployment.advance(1500);
            assert.equal(findOverlappingRuns(deployment.records), undefined);
        });

        // The stop is accepted after the start window: the task is returned to its entry, which orders it elsewhere at
        // once.
        it("guards against a run elsewhere of a task that was returned while its run is being stopped", async () => {
            let nowMs = 0;
            const deployment = new EmulatedDeployment({
                ...SETUP,
                agents: 2,
                work: () => ({ ms: 1000, how: "done" }),
                deliveryOf: (call, _task, endpoint) => {
                    if (endpoint !== 0 || nowMs < WARMUP_MS - POLL_WAIT_MS) {
                        return CallDelivery.Answered;
                    }
                    if (call === "stop") {
                        return nowMs < WARMUP_MS + 420 ? CallDelivery.Lost : CallDelivery.Answered;
                    }
                    return CallDelivery.AnswerReset;
                },
            });
            deployment.deliverHeartbeat(1, 1, 2, true);
            for (; nowMs < 2000; nowMs += 1) {
                if (nowMs === WARMUP_MS) {
                    void deployment.submit(0, ID, 1, 1000);
                }
                if (nowMs === WARMUP_MS + 100) {
                    deployment.deliverHeartbeat(1, 1, 3);
                }
                await deployment.advance(1);
            }
            assert.equal(findOverlappingRuns(deployment.records), undefined);
            assert.ok(deployment.records.some(({ endpoint }) => endpoint === "endpoint-0"));
        });
    });

    describe("an order that is aborted while its start is answered", () => {
        // The endpoint has less room than the agent has calculated, so the start is answered after the abort, without
        // a run.
        it("guards against a start that is sent again after its order was aborted", async () => {
            let starts = 0;
            const clock = new VirtualClock();
            const endpoint = new EmulatedEndpoint(clock, {
                id: "endpoint",
                bornMs: 1,
                capacity: NO_RESOURCES,
                work: () => ({ ms: 300, how: "done" }),
                cpuOf: () => ORDER.need.cpu,
                deliveryOf: call => {
                    starts += call === "start" ? 1 : 0;
                    return CallDelivery.Answered;
                },
            });
            const session = new EndpointSession(endpoint, clock, new SilentLog(), 1);
            const runs = new EndpointRuns(session, clock, new SilentLog());
            session.handleHeartbeat(HEARTBEAT);
            await pass(clock, WARMUP_MS);
            const results: string[] = [];
            runs.onCompletion(({ completion }) => results.push(completion.result));
            runs.acceptOrder("entry", { ...ORDER, startBeforeMs: WARMUP_MS + LEASE_TIMES.START_WINDOW_MS });
            await pass(clock, 1);
            runs.abort("entry", [TASK], "cancelled");
            await pass(clock, 2 * POLL_WAIT_MS);
            assert.equal(starts, 1);
            assert.deepEqual(results, [RunResult.NotStarted]);
            session.dispose();
            runs.dispose();
        });
    });

    describe("an aborted order whose start was lost, while stops are held back", () => {
        // No list shows the run, and its start has no effect once its window is over.
        it("guards against an endpoint that gets no tasks until a stop of a run that cannot begin is answered", async () => {
            const clock = new VirtualClock();
            const endpoint = new EmulatedEndpoint(clock, {
                id: "endpoint",
                bornMs: 1,
                capacity: HEARTBEAT.capacity,
                work: () => ({ ms: 300, how: "done" }),
                cpuOf: () => ORDER.need.cpu,
                deliveryOf: call => call === "look" ? CallDelivery.Answered : CallDelivery.Lost,
            });
            const session = new EndpointSession(endpoint, clock, new SilentLog(), 1);
            const runs = new EndpointRuns(session, clock, new SilentLog());
            session.handleHeartbeat(HEARTBEAT);
            await pass(clock, WARMUP_MS);
            runs.acceptOrder("entry", { ...ORDER, startBeforeMs: WARMUP_MS + LEASE_TIMES.START_WINDOW_MS });
            await pass(clock, 1);
            runs.abort("entry", [TASK], "cancelled");
            await pass(clock, LEASE_TIMES.START_WINDOW_MS - 10);
            assert.equal(runs.count, 1);
            await pass(clock, 2 * POLL_WAIT_MS + 10);
            assert.equal(runs.count, 0);
            assert.equal(session.isAvailable, true);
            session.dispose();
            runs.dispose();
        });
    });
});
