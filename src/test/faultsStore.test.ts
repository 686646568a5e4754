import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { Deployment } from "./Deployment.js";

const TEST_LIMIT_MS = 90_000;
const TASKS = [{ runMs: 1, value: 1 }];

describe("faults of the store", { timeout: 4 * TEST_LIMIT_MS }, () => {
    let deployment: Deployment;

    afterEach(async () => {
        await deployment.dispose();
    });

    /** Waits until `revision` is in force at every entry and every agent; fails when one reports a newer revision. */
    async function untilInForce(revision: number, agents: number): Promise<void> {
        await Deployment.until(`revision ${revision} everywhere`, async () => {
            const entries = [...deployment.entries.keys()];
            const all = (await Promise.all(entries.map(entry => deployment.revisions(entry)))).flat();
            assert.ok(all.every(found => found <= revision), `found ${all.join(", ")}`);
            return all.length === entries.length + agents && all.every(found => found === revision);
        });
    }

    /** Submits jobs under new tickets until one completes; a refused ticket request must have verdict `not_run`. */
    async function untilJobCompletes(entry: string): Promise<void> {
        await Deployment.until(`a job through ${entry}`, async () => {
            const issued = await deployment.call(entry, "POST", "/v1/tickets", {
                service: deployment.service,
                count: 1,
            });
            if (issued.status !== 200) {
                assert.equal(issued.body.verdict, "not_run");
                return false;
            }
            const { body } = await deployment.submit(entry, issued.body.tickets[0] ?? "", TASKS);
            return body.state === "complete";
        });
    }

    describe("down at start", () => {
        it("guards against work without a configuration, and against a change that is lost or half accepted", async () => {
            deployment = await Deployment.create();
            await deployment.setStore({ mode: "down" });
            await deployment.startEntry("e1");
            await deployment.startEntry("e2");
            await deployment.startAgent("a1", 4);
            const tickets = await deployment.call("e1", "POST", "/v1/tickets", { service: "tour", count: 1 });
            assert.ok(tickets.status >= 400);
            assert.equal(tickets.body.verdict, "not_run");
            assert.equal((await deployment.put("e1", 0)).status, 503);
            await deployment.setStore({ mode: "up" });
            await Deployment.until("an accepted change", async () => (await deployment.put("e2", 0)).status === 200);
            await untilInForce(1, 1);
            await untilJobCompletes("e1");
        });
    });

    describe("slow or losing replies", () => {
        it("guards against a change that takes effect but is reported as refused", async () => {
            deployment = await Deployment.start(["e1", "e2"], ["a1", "a2"]);
            await deployment.setStore({ mode: "slow", delayMs: 200 });
            const slow = await deployment.put("e1", 1, 101);
            assert.equal(slow.status, 200);
            await untilJobCompletes("e2");
            await deployment.setStore({ mode: "up", loseReplies: 1 });
            const lost = await deployment.put("e2", slow.body.revision, 102);
            assert.equal(lost.status, 200);
            await untilInForce(lost.body.revision, 2);
        });

        it("guards against two accepted changes that are based on the same revision", async () => {
            deployment = await Deployment.start(["e1", "e2", "e3"], ["a1"]);
            let revision = 1;
            for (let round = 0; round < 6; round++) {
                await deployment.setStore({ mode: "slow", delayMs: 20, loseReplies: round % 2 });
                const replies = await Promise.all(["e1", "e2", "e3"].map((entry, index) => {
                    return deployment.put(entry, revision, 1000 * round + index + 1);
                }));
                const applied = replies.filter(({ status }) => status === 200);
                assert.equal(applied.length, 1, replies.map(({ status }) => status).join(", "));
                assert.ok(replies.every(({ status }) => status === 200 || status === 412));
                revision = applied[0]?.body.revision ?? 0;
                assert.equal(revision, round + 2);
            }
            await untilInForce(revision, 1);
        });
    });

    describe("down for long", () => {
        it("guards against a lost or reverted change when every process is replaced meanwhile", async () => {
            deployment = await Deployment.start(["e1", "e2"], ["a1", "a2"]);
            const accepted = await deployment.put("e1", 1, 777);
            await untilInForce(accepted.body.revision, 2);
            await deployment.setStore({ mode: "down" });
            assert.equal((await deployment.put("e2", 2, 778)).status, 503);
            await untilJobCompletes("e1");

            await deployment.startEntry("e3");
            await deployment.startAgent("a3", 4);
            await deployment.kill("a1");
            await deployment.kill("e1");
            await untilInForce(accepted.body.revision, 2);
            await untilJobCompletes("e3");

            await deployment.kill("e2");
            await deployment.kill("e3");
            await deployment.startEntry("e4");
            await untilInForce(accepted.body.revision, 2);
            await untilJobCompletes("e4");

            await deployment.setStore({ mode: "up" });
            await deployment.startEntry("e5");
            await untilInForce(accepted.body.revision, 2);
            await untilJobCompletes("e5");
            const next = await deployment.put("e4", accepted.body.revision, 779);
            assert.deepEqual([next.status, next.body.revision], [200, accepted.body.revision + 1]);
            await untilInForce(next.body.revision, 2);
        });
    });
});
