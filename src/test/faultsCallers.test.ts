import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { SeededRandom } from "../common/SeededRandom.js";
import { Deployment } from "./Deployment.js";

const TEST_LIMIT_MS = 90_000;

describe("faults that callers see", { timeout: 5 * TEST_LIMIT_MS }, () => {
    let deployment: Deployment;

    afterEach(async () => {
        await deployment.dispose();
    });

    function assertOneStartEach(): void {
        for (const [task, count] of deployment.starts) {
            assert.equal(count, 1, `task ${task} was started ${count} times`);
        }
    }

    describe("delayed and reordered messages", () => {
        for (const seed of [1, 2]) {
            it(`guards against an output in the answer to another job, seed ${seed}`, async () => {
                const names = ["e1", "e2", "e3"];
                deployment = await Deployment.start(names, ["a1", "a2", "a3"], 8);
                const random = new SeededRandom(seed);
                deployment.rules.delayMs = () => random.next() * 40;
                const jobs = Array.from({ length: 90 }, (_, job) => job);
                await Promise.all(jobs.map(async job => {
                    const entry = names[job % names.length] ?? "";
                    const ticket = await deployment.ticket(names[(job + 1) % names.length] ?? "");
                    const tasks = Array.from({ length: 1 + job % 6 }, (_, task) => {
                        return { runMs: Math.floor(random.next() * 60), value: `${job}/${task}` };
                    });
                    const twice = [
                        deployment.submitUntilAccepted(entry, ticket, tasks),
                        deployment.submitUntilAccepted("e1", ticket, tasks),
                    ];
                    for (const { body } of await Promise.all(twice)) {
                        assert.equal(body.state, "complete", JSON.stringify(body));
                        const outputs = body.tasks.map(task => (task.output as { value: unknown; }).value);
                        assert.deepEqual(outputs, tasks.map(task => task.value));
                    }
                }));
                assertOneStartEach();
            });
        }
    });

    describe("waves of cancellations", () => {
        it("guards against starts of cancelled tasks, cancelled tasks that keep running and slots that are never freed", async () => {
            const names = ["e1", "e2"];
            deployment = await Deployment.start(names, ["a1", "a2"], 4);
            const slots = 8;
            const entryAt = (index: number) => names[index % 2] ?? "";
            for (let wave = 0; wave < 3; wave++) {
                const before = deployment.starts.size;
                const all = await Promise.all(Array.from({ length: 150 }, () => deployment.ticket("e1")));
                const tasks = [{ runMs: 600_000, value: 1 }, { runMs: 600_000, value: 2 }];
                const more = { wait: false, deadlineMs: 300_000, sizeMs: 1 };
                const replies = await Promise.all(all.map((ticket, index) => {
                    return deployment.submit(entryAt(index), ticket, tasks, more);
                }));
                // From the second wave on the entry knows that tasks run longer than declared, so it refuses some
                // jobs as overloaded.
                const tickets = all.filter((_, index) => replies[index]?.status === 202);
                assert.ok(replies.every(({ status, body }) => status === 202 || body.verdict === "not_run"));
                assert.ok(tickets.length >= (wave === 0 ? all.length : slots), `${tickets.length} jobs accepted`);
                await Deployment.until("full slots", () => deployment.running === slots);
                const placed = await Promise.all(tickets.map(ticket => deployment.placedTasks("e1", ticket)));
                // Cancels queued jobs first, so that none of their tasks starts in a slot that has been freed.
                for (const isQueued of [true, false]) {
                    await Promise.all(tickets.map(async (ticket, index) => {
                        if ((placed[index]?.size === 0) === isQueued) {
                            await deployment.call(entryAt(index), "DELETE", `/v1/jobs/${ticket}`);
                            const path = `/v1/jobs/${ticket}?waitMs=60000`;
                            const { body } = await deployment.call(entryAt(index), "GET", path);
                            assert.deepEqual(
                                body.tasks.map(task => task.verdict === "not_run"),
                                [0, 1].map(task => {
                                    return placed[index]?.has(task) !== true;
                                }),
                            );
                        }
                    }));
                }
                await Deployment.until("the abort of all running tasks", () => deployment.running === 0);
                assert.equal(deployment.starts.size - before, slots, "exactly the tasks in slots are started");
                const short = Array.from({ length: 40 }, (_, value) => ({ runMs: 5, value }));
                const { body } = await deployment.submit("e1", await deployment.ticket("e1"), short);
                assert.equal(body.state, "complete", JSON.stringify(body));
                const full = Array.from({ length: slots }, (_, value) => ({ runMs: 400, value }));
                const again = deployment.submit("e1", await deployment.ticket("e1"), full, { sizeMs: 1 });
                await Deployment.until("every slot in use", () => deployment.running === slots);
                assert.equal((await again).body.state, "complete");
            }
            assertOneStartEach();
        });

        it("guards against a job that ends because its caller disconnects", async () => {
            deployment = await Deployment.start(["e1"], ["a1"]);
            const ticket = await deployment.ticket("e1");
            const tasks = [{ runMs: 500, value: "kept" }];
            const abort = new AbortController();
            const dropped = deployment.submit("e1", ticket, tasks, { signal: abort.signal });
            await Deployment.until("the start", () => deployment.running === 1);
            abort.abort();
            await assert.rejects(dropped);
            const { body } = await deployment.call("e1", "GET", `/v1/jobs/${ticket}?waitMs=60000`);
            assert.equal(body.state, "complete");
            assertOneStartEach();
        });
    });

    describe("endpoints", () => {
        it("guards against starts on an endpoint that has drained", async () => {
            deployment = await Deployment.start(["e1", "e2"], ["a1", "a2"]);
            const jobs: Promise<string>[] = [];
            let submitting = true;
            const load = async () => {
                while (submitting) {
                    const ticket = await deployment.ticket("e1");
                    const tasks = [1, 2].map(value => ({ runMs: 20, value }));
                    jobs.push(deployment.submit("e2", ticket, tasks).then(({ body }) => body.state));
                    await Deployment.until("free capacity", () => deployment.running < 8);
                }
            };
            const loading = load();
            const leaving = deployment.endpoints.get("a1");
            await Deployment.until("starts on both", () => {
                return [...deployment.endpoints.values()].every(endpoint => endpoint.starts.size > 10);
            });
            assert.deepEqual(await leaving?.drain(20_000), []);
            const starts = leaving?.starts.size;
            const other = deployment.endpoints.get("a2")!;
            const seen = other.starts.size;
            await Deployment.until("further starts elsewhere", () => other.starts.size > seen + 50);
            submitting = false;
            await loading;
            const states = await Promise.all(jobs);
            assert.equal(leaving?.starts.size, starts);
            assert.ok(
                states.every(state => state === "complete"),
                "a job failed during the planned stop of an endpoint",
            );
            assertOneStartEach();
        });

        it("guards against a false verdict or a hang when every endpoint fails its tasks", async () => {
            deployment = await Deployment.start(["e1"], ["a1", "a2"]);
            for (const endpoint of deployment.endpoints.values()) {
                endpoint.failureShare = 1;
            }
            const tasks = Array.from({ length: 20 }, (_, value) => ({ runMs: 5, value }));
            const more = { onFailure: "continue", deadlineMs: 20_000 } as const;
            const ticket = await deployment.ticket("e1");
            const { body } = await deployment.submit("e1", ticket, tasks, more);
            assert.equal(body.state, "failed");
            body.tasks.forEach(({ verdict }, task) => {
                const started = deployment.starts.has(deployment.taskKey(ticket, task));
                assert.equal(verdict, started ? "ran" : "not_run");
            });
            for (const endpoint of deployment.endpoints.values()) {
                endpoint.failureShare = 0;
            }
            await Deployment.until("recovery", async () => {
                const after = await deployment.submit("e1", await deployment.ticket("e1"), [{ runMs: 1, value: 1 }]);
                return after.body.state === "complete";
            });
            assertOneStartEach();
        });

        it("guards against not_run for a repeatable task that ran, failed and was never retried", async () => {
            deployment = await Deployment.start(["e1"], ["a1"], 1);
            const failing = [{ runMs: 5, value: 1, fail: true }];
            const verdicts = new Set<string>();
            for (let round = 0; round < 8; round++) {
                const ticket = await deployment.ticket("e1");
                const reply = deployment.submit("e1", ticket, failing, { repeatable: true });
                await Deployment.until("the first start", () => {
                    return deployment.starts.has(deployment.taskKey(ticket, 0));
                });
                await deployment.call("e1", "DELETE", `/v1/jobs/${ticket}`);
                verdicts.add((await reply).body.verdict);
            }
            assert.ok(!verdicts.has("not_run"), [...verdicts].join(", "));
        });

        it("guards against queueing a job that can never run", async () => {
            deployment = await Deployment.start(["e1"], ["a1"], 2);
            const tooLarge = [{ runMs: 1, value: "x".repeat(100_000) }];
            const large = await deployment.submit("e1", await deployment.ticket("e1"), tooLarge);
            assert.ok(large.status >= 400 && large.body.verdict === "not_run", JSON.stringify(large.body));
            const tasks = Array.from({ length: 4 }, (_, value) => ({ runMs: 600_000, value }));
            const ticket = await deployment.ticket("e1");
            const reply = deployment.submit("e1", ticket, tasks, { deadlineMs: 600_000 });
            await Deployment.until("the starts", () => deployment.running > 0);
            await deployment.kill("a1");
            const { body } = await reply;
            const placed = await deployment.placedTasks("e1", ticket);
            assert.equal(body.state, "failed");
            assert.deepEqual(
                body.tasks.map(task => task.verdict),
                tasks.map((_, task) => {
                    return placed.has(task) ? "may_have_run" : "not_run";
                }),
            );
            assert.ok(placed.size < tasks.length);
            const late = await deployment.submit("e1", ticket, tasks);
            assert.deepEqual(late.body, body);
        });
    });
});
