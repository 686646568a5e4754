import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { CallDelivery } from "../../emulator/CallDelivery.js";
import { EmulatedDeployment } from "../../emulator/EmulatedDeployment.js";
import { findOverlappingRuns } from "../../emulator/findOverlappingRuns.js";

const TASK_CPU = 6000;
const ID = "00000000000000aa";

/** A caller that has lost its entry submits again after this time. */
const RESUBMIT_MS = 1300;

/** Stops before this time are delayed by seconds. */
const HELD_BACK_MS = 3000;

/** Times of the loss after the submission, spread over the renewal interval. */
const LOSSES_MS = [300, 350, 400, 450];

/** Callers that disconnect one after the other, for 2 s, so that a stop is always in flight. */
const DISCONNECTS = 50;

describe("EntryLink", () => {
    describe("an entry that is lost while its endpoint delays stops and answers polls", () => {
        for (const lossMs of LOSSES_MS) {
            it(`guards against its run beside that of the caller's second submission, lost after ${lossMs} ms`, async () => {
                const caller = new AbortController();
                const deployment: EmulatedDeployment = new EmulatedDeployment({
                    entries: 2,
                    agents: 2,
                    seed: 1,
                    cpu: TASK_CPU,
                    taskCpu: TASK_CPU,
                    work: () => ({ ms: 3000, how: "done" }),
                    deliveryOf: call => {
                        const held = call === "stop" && deployment.clock.now() < HELD_BACK_MS;
                        return held ? CallDelivery.Delayed : CallDelivery.Answered;
                    },
                });
                await deployment.advance(500);
                void deployment.submit(0, ID, 1, 3000, caller.signal, 5000);
                await deployment.advance(lossMs);
                deployment.endpoints.forEach((_, agent) => deployment.partition(0, agent, "both"));
                caller.abort();
                await deployment.advance(RESUBMIT_MS);
                void deployment.submit(1, ID, 1, 3000, undefined, 5000);
                await deployment.advance(1000);
                assert.equal(findOverlappingRuns(deployment.records), undefined);
                assert.equal(deployment.records.length, 2);
            });
        }
    });

    describe("callers that disconnect all the time", () => {
        it("guards against runs of other callers that expire although each stop is confirmed", async () => {
            const deployment = new EmulatedDeployment({
                entries: 1,
                agents: 1,
                seed: 1,
                cpu: 10 * TASK_CPU,
                taskCpu: TASK_CPU,
                work: () => ({ ms: 3000, how: "done" }),
            });
            await deployment.advance(500);
            const outcome = deployment.submit(0, ID, 1, 3000, undefined, 5000);
            for (let job = 0; job < DISCONNECTS; job += 1) {
                const caller = new AbortController();
                void deployment.submit(0, job.toString(16).padStart(16, "0"), 1, 3000, caller.signal, 5000);
                await deployment.advance(20);
                caller.abort();
                await deployment.advance(20);
            }
            await deployment.advance(1500);
            assert.equal((await outcome).kind, "completed");
            assert.equal(deployment.records.length, 1 + DISCONNECTS);
            assert.deepEqual(deployment.records.filter(record => record.how === "lapsed"), []);
        });
    });

    describe("an agent that stalls when the entry lease of a lost entry expires, at an endpoint with a slow clock", () => {
        for (const unheardMs of [0, 550]) {
            it(`guards against a run that is alive until its caller submits again, reports lost ${unheardMs} ms before`, async () => {
                const aliveMs = [];
                for (let lossMs = 700; lossMs < 900; lossMs += 20) {
                    aliveMs.push(await simulateSlowClock(lossMs, unheardMs));
                }
                assert.ok(
                    Math.max(...aliveMs) <= RESUBMIT_MS,
                    `the run was alive for up to ${Math.max(...aliveMs)} ms after the loss`,
                );
            });
        }
    });
});

/**
 * Returns how long a run goes on after the loss of its entry, when the agent's first stop and all later calls are lost,
 * and its reports to that entry are lost from `unheardMs` before.
 */
async function simulateSlowClock(lossMs: number, unheardMs: number): Promise<number> {
    const caller = new AbortController();
    let stalled = false;
    const deployment = new EmulatedDeployment({
        entries: 2,
        agents: 1,
        seed: 1,
        cpu: 10 * TASK_CPU,
        taskCpu: TASK_CPU,
        clockRate: 0.98,
        // Short runs of the other entry make the agent poll, and renew the endpoint lease, every few milliseconds.
        work: task => ({ ms: task.startsWith(ID) ? 3000 : 5, how: "done" }),
        deliveryOf: (call, task) => {
            stalled ||= call === "stop" && task.startsWith(ID);
            return stalled ? CallDelivery.Lost : CallDelivery.Answered;
        },
    });
    await deployment.advance(500);
    void deployment.submit(0, ID, 1, 3000, caller.signal, 5000);
    await deployment.advance(lossMs - unheardMs);
    deployment.partition(0, 0, "to_entry");
    await deployment.advance(unheardMs);
    const lostAt = deployment.clock.now();
    deployment.partition(0, 0, "both");
    caller.abort();
    for (let job = 0; job < 200; job += 1) {
        void deployment.submit(1, job.toString(16).padStart(16, "0"), 1, 5, undefined, 5000);
        await deployment.advance(10);
    }
    const end = deployment.records.find(record => record.task.startsWith(ID))?.to;
    return (end ?? Number.POSITIVE_INFINITY) - lostAt;
}
