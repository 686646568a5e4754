import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { rendezvousRank } from "../common/rendezvousRank.js";
import { Deployment } from "./Deployment.js";

const TEST_LIMIT_MS = 90_000;
const SLOTS = 4;

describe("shared slots and bounded records", { timeout: 3 * TEST_LIMIT_MS }, () => {
    let deployment: Deployment;

    afterEach(async () => {
        await deployment.dispose();
    });

    describe("one agent with two home entries, before and after a new entry joins", () => {
        it("guards against more running tasks than slots and against credits that are lost", async () => {
            const [next, first] = rendezvousRank("r/tour/0", ["e1", "e2", "e3"]);
            assert.ok(next !== undefined && first !== undefined);
            deployment = await Deployment.start([first], ["a1"], SLOTS);
            let most = 0;
            const watch = setInterval(() => {
                most = Math.max(most, deployment.running);
            }, 5);
            const tasks = Array.from({ length: 40 }, (_, value) => ({ runMs: 150, value }));
            const ticket = await deployment.ticket(first);
            const more = { sizeMs: 1, deadlineMs: 45_000, onFailure: "continue" } as const;
            const old = deployment.submit(first, ticket, tasks, more);
            await Deployment.until("full slots", () => deployment.running === SLOTS);
            await deployment.startEntry(next);
            await Deployment.until(
                "the agent at its new home entry",
                async () => await deployment.attachedTo(next) === 1,
            );
            const { body } = await deployment.submitUntilAccepted(next, await deployment.ticket(next), tasks, more);
            assert.equal(body.state, "complete", JSON.stringify(body));
            const answer = (await old).body;
            answer.tasks.forEach(({ verdict }, task) => {
                assert.equal(verdict, deployment.starts.has(deployment.taskKey(ticket, task)) ? "ran" : "not_run");
            });
            clearInterval(watch);
            assert.equal(most, SLOTS);
            for (const [task, count] of deployment.starts) {
                assert.equal(count, 1, `task ${task} was started ${count} times`);
            }
        });
    });

    describe("records beyond their limit in bytes", () => {
        it("guards against not_run, and against a second start, after the agent dropped a ticket's records", async () => {
            deployment = await Deployment.start(["e1", "e2"], []);
            await deployment.startAgent("a1", SLOTS, { recordBytes: 4096 });
            const ticket = await deployment.ticket("e1");
            const issuer = deployment.issuerOf(ticket);
            const other = issuer === "e1" ? "e2" : "e1";
            const tasks = [{ runMs: 1, value: "x".repeat(1000) }, { runMs: 1, value: 2 }];
            assert.equal((await deployment.submit(issuer, ticket, tasks)).body.state, "complete");
            for (let job = 0; job < 12; job++) {
                const { body } = await deployment.submit(issuer, await deployment.ticket(issuer), tasks);
                assert.equal(body.state, "complete");
            }
            deployment.rules.cut([issuer], [other]);
            const settled = await deployment.submit(other, ticket, tasks);
            assert.deepEqual([settled.body.state, settled.body.verdict], ["failed", "may_have_run"]);
            assert.equal((await deployment.submit(issuer, ticket, tasks)).body.state, "complete");
            assert.equal(deployment.starts.get(deployment.taskKey(ticket, 0)), 1);
        });
    });

    describe("agents of another region", () => {
        it("guards against work on agents of another region", async () => {
            deployment = await Deployment.start(["e1"], []);
            await deployment.startAgent("foreign", SLOTS, { region: "elsewhere" });
            await deployment.startAgent("own", SLOTS);
            await Deployment.until("the agent of the own region", async () => await deployment.attachedTo("e1") === 1);
            const tasks = Array.from({ length: 20 }, (_, value) => ({ runMs: 10, value }));
            const { body } = await deployment.submit("e1", await deployment.ticket("e1"), tasks);
            assert.equal(body.state, "complete");
            assert.equal(deployment.endpoints.get("foreign")?.starts.size, 0);
            assert.equal(await deployment.attachedTo("e1"), 1);
        });
    });
});
