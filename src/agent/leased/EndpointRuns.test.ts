import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { LEASE_TIMES } from "../../common/leased/LEASE_TIMES.js";
import { SilentLog } from "../../common/log/SilentLog.js";
import { VirtualClock } from "../../common/VirtualClock.js";
import { CallDelivery } from "../../emulator/CallDelivery.js";
import { EmulatedDeployment } from "../../emulator/EmulatedDeployment.js";
import { EmulatedEndpoint } from "../../emulator/EmulatedEndpoint.js";
import { findOverlappingRuns } from "../../emulator/findOverlappingRuns.js";
import { EndpointRuns } from "./EndpointRuns.js";
import { EndpointSession } from "./EndpointSession.js";

const TASK_CPU = 6000;
const ID = "00000000000000aa";
const SETUP = { entries: 1, seed: 1, cpu: 64_000, taskCpu: TASK_CPU } as const;

const CAPACITY = { cpu: 64_000, memoryMb: 1000, gpu: 0 };

/** Advances the clock in steps, between which promises settle. */
async function pass(clock: VirtualClock, ms: number): Promise<void> {
    for (let passed = 0; passed < ms; passed += 1) {
        clock.advance(1);
        await new Promise(resolve => setImmediate(resolve));
    }
}

describe("EndpointRuns", () => {
    describe("a start whose response is lost", () => {
        it("guards against a restarted task at another endpoint while its second run continues", async () => {
            let starts = 0;
            const deployment = new EmulatedDeployment({
                ...SETUP,
                agents: 2,
                work: () => ({ ms: 300, how: "done" }),
                deliveryOf: call => {
                    starts += call === "start" ? 1 : 0;
                    return call === "start" && starts === 1 ? CallDelivery.AnswerLost : CallDelivery.Answered;
                },
            });
            await deployment.advance(500);
            const outcome = deployment.submit(0, ID, 1, 300);
            await deployment.advance(1400);
            assert.equal((await outcome).kind, "completed");
            assert.equal(findOverlappingRuns(deployment.records), undefined);
        });

        it("guards against a second run of a task whose lost start took effect", async () => {
            let polls = 0;
            let starts = 0;
            const deployment = new EmulatedDeployment({
                ...SETUP,
                agents: 2,
                work: () => ({ ms: 300, how: "done" }),
                deliveryOf: call => {
                    starts += call === "start" ? 1 : 0;
                    polls += call === "look" && starts > 0 ? 1 : 0;
                    if (call === "start" && starts === 1) {
                        return CallDelivery.AnswerLost;
                    }
                    // The poll that would show the run is lost as well, so the agent stops the run and starts it again.
                    return call === "look" && starts > 0 && polls <= 1 ? CallDelivery.Lost : CallDelivery.Answered;
                },
            });
            await deployment.advance(500);
            const outcome = deployment.submit(0, ID, 1, 300);
            await deployment.advance(1500);
            assert.equal((await outcome).kind, "completed");
            assert.equal(findOverlappingRuns(deployment.records), undefined);
            assert.equal(deployment.records.filter(record => record.how === "done").length, 1);
        });
    });

    describe("a job submitted again at another entry", () => {
        // The other entry is notified that its order was refused while the run that blocks it is still being stopped.
        it("guards against a run at another endpoint beside the run that is being stopped", async () => {
            const deployment = new EmulatedDeployment({
                ...SETUP,
                entries: 2,
                agents: 2,
                work: () => ({ ms: 1000, how: "done" }),
            });
            deployment.deliverHeartbeat(1, 1, 2, true);
            await deployment.advance(500);
            const former = deployment.submit(0, ID, 1, 1000);
            await deployment.advance(100);
            const outcome = deployment.submit(1, ID, 1, 1000);
            deployment.deliverHeartbeat(1, 1, 3);
            await deployment.advance(1300);
            assert.equal((await outcome).kind, "completed");
            assert.equal((await former).kind, "refused");
            assert.equal(findOverlappingRuns(deployment.records), undefined);
        });
    });

    describe("an agent that reports to an entry that its run was superseded", () => {
        // The entry closes the connection to an agent whose message it refuses, and starts its tasks elsewhere later.
        it("guards against an older entry that refuses the report and starts the task at another endpoint", async () => {
            const deployment = new EmulatedDeployment({
                ...SETUP,
                entries: 2,
                agents: 2,
                work: () => ({ ms: 3000, how: "done" }),
            });
            deployment.deliverHeartbeat(1, 1, 2, true);
            await deployment.advance(500);
            const former = deployment.submit(0, ID, 1, 3000, undefined, 8000);
            await deployment.advance(100);
            const outcome = deployment.submit(1, ID, 1, 3000, undefined, 8000);
            await deployment.advance(500);
            deployment.deliverHeartbeat(1, 1, 3);
            await deployment.advance(3500);
            assert.equal(findOverlappingRuns(deployment.records), undefined);
            assert.deepEqual(deployment.links.filter(link => !link.atEntry.open), []);
            assert.equal((await outcome).kind, "completed");
            assert.equal((await former).kind, "refused");
        });
    });

    describe("an endpoint that restarts under its id", () => {
        for (const bornMs of [0, 2]) {
            it(`guards against an incarnation that is not used before its heartbeat, or never, started at ${bornMs}`, async () => {
                const deployment = new EmulatedDeployment({
                    ...SETUP,
                    agents: 1,
                    work: () => ({ ms: 100, how: "done" }),
                });
                await deployment.advance(500);
                deployment.endpoints[0]?.restart(bornMs);
                await deployment.advance(300);
                const outcome = deployment.submit(0, ID, 1, 100);
                await deployment.advance(500);
                deployment.deliverHeartbeat(0, bornMs, 1);
                await deployment.advance(300);
                assert.equal((await outcome).kind, "completed");
                assert.equal(deployment.records.length, 1);
            });
        }
    });

    describe("a run of an earlier agent process", () => {
        it("guards against an endpoint lease that is renewed while the stop of the run is delayed", async () => {
            const clock = new VirtualClock();
            const endpoint = new EmulatedEndpoint(clock, {
                id: "endpoint",
                bornMs: 1,
                capacity: CAPACITY,
                work: () => ({ ms: 5000, how: "done" }),
                cpuOf: () => TASK_CPU,
                deliveryOf: call => call === "stop" ? CallDelivery.Delayed : CallDelivery.Answered,
            });
            const call = { endpoint: "endpoint", fence: 1, timeoutMs: 100 };
            void endpoint.start({
                ...call,
                task: `${ID}.0.0.0`,
                run: 1,
                spec: "",
                untilMs: LEASE_TIMES.ENDPOINT_LEASE_MS,
            });
            await pass(clock, 10);
            const session = new EndpointSession(endpoint, clock, new SilentLog(), 2);
            const runs = new EndpointRuns(session, clock, new SilentLog());
            session.handleHeartbeat({
                life: { id: "endpoint", bornMs: 1 },
                service: "service",
                capacity: CAPACITY,
                labels: [],
                draining: false,
                sequence: 1,
            });
            await pass(clock, LEASE_TIMES.ENDPOINT_LEASE_MS);
            assert.equal(endpoint.records[0]?.how, "lapsed");
            assert.equal(session.isAvailable, true);
            session.dispose();
            runs.dispose();
        });
    });

    describe("a start that takes effect late", () => {
        it("guards against a run started seconds late beside the run that replaced it", async () => {
            let starts = 0;
            const deployment = new EmulatedDeployment({
                ...SETUP,
                agents: 2,
                work: () => ({ ms: 3000, how: "done" }),
                deliveryOf: call => {
                    starts += call === "start" ? 1 : 0;
                    return call === "start" && starts === 1 ? CallDelivery.Delayed : CallDelivery.Answered;
                },
            });
            await deployment.advance(500);
            void deployment.submit(0, ID, 1, 300);
            await deployment.advance(4000);
            assert.equal(findOverlappingRuns(deployment.records), undefined);
            assert.equal(deployment.records.length, 1);
        });
    });
});
