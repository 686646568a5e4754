import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { Deployment } from "./Deployment.js";

const TEST_LIMIT_MS = 90_000;
const ENTRIES = ["e1", "e2", "e3"];
const AGENTS = ["a1", "a2", "a3"];
const LEFT = ["e1", "a1"];
const RIGHT = ["e2", "e3", "a2", "a3"];

describe("failure domains", { timeout: 2 * TEST_LIMIT_MS }, () => {
    let deployment: Deployment;

    afterEach(async () => {
        await deployment.dispose();
    });

    function sum(counts: ReadonlyMap<string, number>): number {
        return [...counts.values()].reduce((total, count) => total + count, 0);
    }

    async function attached(entries: readonly string[]): Promise<number> {
        const counts = await Promise.all(entries.map(entry => deployment.attachedTo(entry)));
        return counts.reduce((total, count) => total + count, 0);
    }

    async function runJobs(entry: string, count: number): Promise<void> {
        for (let job = 0; job < count; job++) {
            const tasks = [1, 2, 3].map(task => ({ runMs: 5, value: `${entry}/${job}/${task}` }));
            const { body } = await deployment.submitUntilAccepted(entry, await deployment.ticket(entry), tasks);
            assert.equal(body.state, "complete", JSON.stringify(body));
        }
    }

    describe("network partition of one failure domain, then healed", () => {
        it("guards against a side that stops working, tasks that start twice and a reconnect storm", async () => {
            deployment = await Deployment.start(ENTRIES, AGENTS);
            const { rules } = deployment;
            const issued = await Promise.all(ENTRIES.map(async entry => ({
                entry,
                ticket: await deployment.ticket(entry),
            })));
            const tasks = Array.from({ length: 30 }, (_, value) => ({ runMs: 200, value }));
            const open = issued.map(({ entry, ticket }) => {
                return deployment.submit(entry, ticket, tasks, { deadlineMs: 40_000, onFailure: "continue" });
            });
            await Deployment.until("running tasks", () => deployment.running > 3);
            rules.cut(LEFT, RIGHT);
            await Deployment.until("each side with its own agents", async () => {
                return await attached(["e1"]) === 1 && await attached(["e2", "e3"]) === 2;
            });
            await Promise.all([runJobs("e1", 5), runJobs("e2", 5), runJobs("e3", 5)]);
            const [cutAt, cutBefore] = [performance.now(), sum(rules.attempts)];
            const answers = await Promise.all(open);
            const cutSeconds = (performance.now() - cutAt) / 1000 * deployment.clockFactor;
            const cutAttempts = sum(rules.attempts) - cutBefore;
            assert.ok(
                cutAttempts <= 30 + 4 * cutSeconds,
                `${cutAttempts} connections in ${cutSeconds} s of the partition`,
            );
            const healBefore = sum(rules.attempts);
            rules.heal();
            await deployment.converge(ENTRIES, AGENTS.length);
            const healAttempts = sum(rules.attempts) - healBefore;
            assert.ok(healAttempts <= 30, `${healAttempts} connections after the partition healed`);
            await Promise.all(ENTRIES.map(entry => runJobs(entry, 5)));

            for (const [index, { entry, ticket }] of issued.entries()) {
                const again = await deployment.submit(entry, ticket, tasks, { onFailure: "continue" });
                const first = answers[index]?.body.tasks.map(task => task.verdict) ?? [];
                const second = again.body.tasks.map(task => task.verdict);
                assert.equal(second.length, tasks.length, JSON.stringify(again.body));
                second.forEach((verdict, task) => {
                    const started = deployment.starts.has(deployment.taskKey(ticket, task));
                    assert.ok(verdict !== "not_run" || !started, `task ${task} ran`);
                    assert.ok(
                        verdict !== "not_run" || first[task] !== "ran",
                        `task ${task}: ${first[task]}, ${verdict}`,
                    );
                    assert.ok(
                        verdict !== "ran" || first[task] !== "not_run",
                        `task ${task}: ${first[task]}, ${verdict}`,
                    );
                });
            }
            for (const [task, count] of deployment.starts) {
                assert.equal(count, 1, `task ${task} was started ${count} times`);
            }
            // An idle deployment sends only gossip and heartbeats, over connections that are already open.
            await Deployment.until("3 s with few new connections and messages", async () => {
                const [attempts, frames] = [sum(rules.attempts), sum(rules.frames)];
                await new Promise(resolve => setTimeout(resolve, 3000));
                const perAgent = 3 * deployment.clockFactor * 2 * (AGENTS.length + ENTRIES.length);
                return sum(rules.attempts) - attempts <= 4 && sum(rules.frames) - frames <= 2 * perAgent;
            });
        });
    });
});
