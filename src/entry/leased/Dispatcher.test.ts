import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { CallDelivery } from "../../emulator/CallDelivery.js";
import { EmulatedDeployment } from "../../emulator/EmulatedDeployment.js";
import { findOverlappingRuns } from "../../emulator/findOverlappingRuns.js";

const TASK_CPU = 6000;
const ENDPOINT_CPU = 32_000;
const READY_MS = 500;

type Options = ConstructorParameters<typeof EmulatedDeployment>[0];

async function deploy(options: Partial<Options> = {}): Promise<EmulatedDeployment> {
    const deployment = new EmulatedDeployment({
        entries: 2,
        agents: 3,
        seed: 1,
        cpu: ENDPOINT_CPU,
        taskCpu: TASK_CPU,
        work: () => ({ ms: 100, how: "done" }),
        ...options,
    });
    await deployment.advance(READY_MS);
    return deployment;
}

const id = (number: number) => number.toString(16).padStart(16, "0");

describe("Dispatcher", () => {
    describe("a job that cannot be served", () => {
        it("guards against queueing a job with a task that is larger than every endpoint", async () => {
            const deployment = await deploy({ taskCpu: ENDPOINT_CPU + 1 });
            const outcome = deployment.submit(0, id(1), 1, 100);
            await deployment.advance(20);
            const answer = await outcome;
            assert.equal(answer.kind === "refused" && answer.verdict, "not_run");
        });

        it("guards against a wait until the deadline while every endpoint is full", async () => {
            const deployment = await deploy({ work: () => ({ ms: 10_000, how: "done" }) });
            for (let job = 1; job <= 4; job += 1) {
                void deployment.submit(0, id(job), 4, 10_000, undefined, 60_000);
            }
            await deployment.advance(50);
            const outcome = deployment.submit(0, id(9), 1, 100);
            await deployment.advance(700);
            const answer = await outcome;
            assert.equal(answer.kind === "refused" && answer.verdict, "not_run");
            assert.ok(answer.kind === "refused" && answer.retryAfterMs >= 1000);
            assert.ok(!deployment.records.some(record => record.task.startsWith(id(9))));
        });
    });

    describe("an unhealthy endpoint", () => {
        it("guards against failing jobs because one endpoint fails every task immediately", async () => {
            const work = (_: string, endpoint: number) => {
                return endpoint === 0 ? { ms: 2, how: "failed" } : { ms: 100, how: "done" };
            };
            const deployment = await deploy({ work });
            const outcomes = [];
            for (let job = 1; job <= 40; job += 1) {
                outcomes.push(deployment.submit(job % 2, id(job), 2, 100));
                await deployment.advance(25);
            }
            await deployment.advance(800);
            const kinds = (await Promise.all(outcomes)).map(outcome => outcome.kind);
            assert.ok(kinds.every(kind => kind === "completed"), kinds.join());
            const wasted = deployment.records.filter(record => record.how === "failed").length;
            assert.ok(wasted < 20, `${wasted} runs failed`);
        });

        it("guards against ejecting healthy endpoints because some jobs fail everywhere", async () => {
            const work = (task: string) => ({ ms: 20, how: task.startsWith("f") ? "failed" : "done" });
            const deployment = await deploy({ work });
            const outcomes = [];
            for (let job = 1; job <= 30; job += 1) {
                void deployment.submit(0, `f${id(job).slice(1)}`, 2, 50);
                outcomes.push(deployment.submit(0, id(job), 1, 50));
                await deployment.advance(30);
            }
            await deployment.advance(500);
            const kinds = (await Promise.all(outcomes)).map(outcome => outcome.kind);
            assert.ok(kinds.every(kind => kind === "completed"), kinds.join());
        });

        it("guards against sending more tasks to an endpoint on which no task ever ends", async () => {
            const work = (_: string, endpoint: number) => ({ ms: endpoint === 0 ? 100_000 : 60, how: "done" });
            const deployment = await deploy({ work });
            const outcomes = [];
            for (let job = 1; job <= 60; job += 1) {
                outcomes.push(deployment.submit(job % 2, id(job), 2, 60, undefined, 2000));
                await deployment.advance(25);
            }
            await deployment.advance(2500);
            const kinds = (await Promise.all(outcomes)).map(outcome => outcome.kind);
            const completed = kinds.filter(kind => kind === "completed").length;
            assert.ok(completed >= 57, `${completed} of 60 completed`);
        });
    });

    describe("an endpoint that stalls", () => {
        it("guards against leaving the last runs at a stalled endpoint until their callers give up", async () => {
            let stalled = false;
            const work = (task: string, endpoint: number) => {
                const long = task.startsWith(id(200)) ? 600 : 100;
                return { ms: endpoint === 0 && stalled ? 100_000 : long, how: "done" };
            };
            const deployment = await deploy({ agents: 2, work });
            for (let job = 1; job <= 10; job += 1) {
                void deployment.submit(0, id(job), 2, 100);
                await deployment.advance(50);
            }
            stalled = true;
            const outcomes = [deployment.submit(0, id(200), 2, 600, undefined, 6000)];
            for (let job = 11; job <= 40; job += 1) {
                outcomes.push(deployment.submit(job % 2, id(job), 2, 100, undefined, 3000));
                await deployment.advance(50);
            }
            await deployment.advance(4000);
            const kinds = (await Promise.all(outcomes)).map(outcome => outcome.kind);
            assert.ok(kinds.every(kind => kind === "completed"), kinds.join());
        });
    });

    describe("a lost connection", () => {
        for (const way of ["to_agent", "to_entry", "both"] as const) {
            it(`guards against runs that outlive the entry lease after a partition: ${way}`, async () => {
                const deployment = await deploy({ work: () => ({ ms: 5000, how: "done" }) });
                void deployment.submit(0, id(1), 3, 5000, undefined, 20_000);
                await deployment.advance(100);
                const agents = [0, 1, 2];
                agents.forEach(agent => deployment.partition(0, agent, way));
                await deployment.advance(1290);
                const alive = deployment.records.filter(record => record.to === undefined && record.from < 700);
                assert.deepEqual(alive, []);
                await deployment.advance(3000);
                assert.equal(findOverlappingRuns(deployment.records), undefined);
            });
        }

        it("guards against a run that goes on after its caller has disconnected", async () => {
            const deployment = await deploy({ work: () => ({ ms: 5000, how: "done" }) });
            const caller = new AbortController();
            void deployment.submit(0, id(1), 3, 5000, caller.signal, 20_000);
            await deployment.advance(100);
            caller.abort();
            await deployment.advance(200);
            assert.ok(deployment.records.length === 3 && deployment.records.every(record => record.how === "stopped"));
        });
    });

    describe("calls to the endpoint that are lost", () => {
        it("guards against late answers when every tenth start call is lost, delayed or unanswered", async () => {
            let starts = 0;
            const deliveries = [CallDelivery.AnswerLost, CallDelivery.Delayed, CallDelivery.Lost];
            const deployment = await deploy({
                deliveryOf: call => {
                    starts += call === "start" ? 1 : 0;
                    const lost = call === "start" && starts % 10 === 0;
                    return lost
                        ? deliveries[(starts / 10) % deliveries.length] ?? CallDelivery.Lost
                        : CallDelivery.Answered;
                },
            });
            const outcomes = [];
            for (let job = 1; job <= 30; job += 1) {
                outcomes.push(deployment.submit(0, id(job), 2, 100));
                await deployment.advance(40);
            }
            await deployment.advance(800);
            const kinds = (await Promise.all(outcomes)).map(outcome => outcome.kind);
            assert.ok(kinds.every(kind => kind === "completed"), kinds.join());
            assert.equal(findOverlappingRuns(deployment.records), undefined);
        });
    });
});
