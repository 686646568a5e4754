import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { Deployment } from "./Deployment.js";

const TEST_LIMIT_MS = 90_000;

describe("faults between issuer, agents and other entries", { timeout: 4 * TEST_LIMIT_MS }, () => {
    let deployment: Deployment;

    afterEach(async () => {
        await deployment.dispose();
    });

    function assertOneStartEach(): void {
        for (const [task, count] of deployment.starts) {
            assert.equal(count, 1, `task ${task} was started ${count} times`);
        }
    }

    /** Submits a task of `runMs` to one entry with one agent and stalls their connection while it runs. */
    async function startHalfOpen(runMs: number, stall: (entry: string, agent: string) => void) {
        deployment = await Deployment.start(["e1"], ["a1"]);
        const ticket = await deployment.ticket("e1");
        const reply = deployment.submit("e1", ticket, [{ runMs, value: "done" }]);
        await Deployment.until("the start", () => deployment.running === 1);
        stall("e1", "a1");
        await Deployment.until("the detachment", async () => await deployment.attachedTo("e1") === 0);
        return { ticket, reply };
    }

    async function eventsOf(ticket: string): Promise<readonly number[]> {
        const { body } = await deployment.call("e1", "GET", `/v1/jobs/${ticket}/story`);
        return body.steps.map(step => step.event);
    }

    describe("half-open connection between issuer and agent", () => {
        const OUTCOME_UNKNOWN = 1023;
        const REVOKE_SENT = 1024;
        const STILL_RUNNING = 1025;

        for (const direction of ["from the agent", "to the agent", "in both directions"]) {
            it(`guards against a second start and a lost outcome of a finished task, stalled ${direction}`, async () => {
                const { ticket, reply } = await startHalfOpen(200, (entry, agent) => {
                    if (direction !== "to the agent") {
                        deployment.rules.stall(agent, entry);
                    }
                    if (direction !== "from the agent") {
                        deployment.rules.stall(entry, agent);
                    }
                });
                await Deployment.until("the end of the task", () => deployment.running === 0);
                deployment.rules.heal();
                const { body } = await reply;
                assert.equal(body.state, "complete");
                assert.deepEqual(body.tasks.map(task => task.output), [{ value: "done", runMs: 200 }]);
                assertOneStartEach();
                const events = await eventsOf(ticket);
                const outcomeArrived = direction === "to the agent";
                assert.equal(events.includes(OUTCOME_UNKNOWN) && events.includes(REVOKE_SENT), !outcomeArrived);
            });
        }

        it("guards against a second start of a task that still runs when the agent reconnects", async () => {
            const { ticket, reply } = await startHalfOpen(12_000, (entry, agent) => {
                deployment.rules.stallBoth(entry, agent);
            });
            deployment.rules.heal();
            await Deployment.until("the answer to the revoke", async () => {
                return (await eventsOf(ticket)).includes(STILL_RUNNING);
            });
            assert.equal((await reply).body.state, "complete");
            assertOneStartEach();
        });

        it("guards against a failed task whose start never reached the agent", async () => {
            deployment = await Deployment.start(["e1"], ["a1"]);
            const ticket = await deployment.ticket("e1");
            deployment.rules.stall("e1", "a1");
            const reply = deployment.submit("e1", ticket, [{ runMs: 10, value: "done" }]);
            await Deployment.until("the detachment", async () => await deployment.attachedTo("e1") === 0);
            assert.equal(deployment.starts.size, 0);
            deployment.rules.heal();
            assert.equal((await reply).body.state, "complete");
            assertOneStartEach();
        });

        it("guards against another verdict than may_have_run when the agent does not reconnect before the deadline", async () => {
            deployment = await Deployment.start(["e1"], ["a1"]);
            const ticket = await deployment.ticket("e1");
            const tasks = [{ runMs: 100, value: "done" }];
            deployment.rules.stall("a1", "e1");
            const { body } = await deployment.submit("e1", ticket, tasks, { deadlineMs: 5000 });
            assert.deepEqual([body.state, body.verdict], ["failed", "may_have_run"]);
            deployment.rules.heal();
            assert.equal((await deployment.submit("e1", ticket, tasks)).body.verdict, "may_have_run");
            assertOneStartEach();
        });
    });

    describe("issuer partitioned from the other entries but not from the agents", () => {
        type Verdicts = readonly string[];

        /** Asserts that no task is answered both as ran and as not run, and none that started as not run. */
        function assertAnswersAgree(answers: readonly Verdicts[]): void {
            for (const verdicts of answers) {
                verdicts.forEach((verdict, task) => {
                    const all = answers.map(other => other[task] ?? "");
                    const text = `task ${task}: ${all.join(", ")}`;
                    assert.ok(verdict !== "not_run" || !all.includes("ran"), text);
                    const started = [...deployment.starts.keys()].some(key => key.endsWith(`/${task}`));
                    assert.ok(verdict !== "not_run" || !started, `${text}, but it was started`);
                });
            }
        }

        for (const repeatable of [false, true]) {
            it(`guards against answers that contradict each other, repeatable: ${repeatable}`, async () => {
                const names = ["e1", "e2", "e3"];
                deployment = await Deployment.start(names, ["a1", "a2"], 2);
                const ticket = await deployment.ticket("e1");
                const issuer = deployment.issuerOf(ticket);
                const others = names.filter(name => name !== issuer);
                const tasks = Array.from({ length: 12 }, (_, value) => {
                    return { runMs: 1500, value, ...repeatable && value % 3 === 0 ? { fail: true } : {} };
                });
                const more = { onFailure: "continue", repeatable } as const;
                const submit = async (entry: string): Promise<Verdicts> => {
                    const { body } = await deployment.submit(entry, ticket, tasks, more);
                    return body.tasks.map(task => task.verdict);
                };
                const own = submit(issuer);
                await Deployment.until("running tasks", () => deployment.running > 0);
                deployment.rules.cut([issuer], others);
                const settled = others.flatMap(entry => [submit(entry), submit(entry)]);
                const answers = await Promise.all([own, ...settled]);
                deployment.rules.heal();
                answers.push(await submit(others[0]!), await submit(issuer));
                assert.ok(answers.every(verdicts => verdicts.length === tasks.length));
                assertAnswersAgree(answers);
                assert.ok(
                    answers[0].includes("not_run"),
                    "no task has verdict not_run, though the fence must keep the queued tasks from starting",
                );
                if (!repeatable) {
                    assertOneStartEach();
                }
            });
        }

        it("guards against answering another body under the same ticket with the answer to the first", async () => {
            deployment = await Deployment.start(["e1", "e2"], ["a1"]);
            const ticket = await deployment.ticket("e1");
            const issuer = deployment.issuerOf(ticket);
            const other = issuer === "e1" ? "e2" : "e1";
            const first = [{ runMs: 10, value: "first" }];
            assert.equal((await deployment.submit(issuer, ticket, first)).body.state, "complete");
            deployment.rules.cut([issuer], [other]);
            const conflict = await deployment.submit(other, ticket, [{ runMs: 10, value: "second" }]);
            assert.deepEqual([conflict.status, conflict.body.verdict], [409, "not_run"]);
            assert.equal((await deployment.submit(other, ticket, first)).body.state, "complete");
            assertOneStartEach();
        });

        it("guards against tasks that keep running after their job was cancelled while its issuer is unreachable", async () => {
            deployment = await Deployment.start(["e1", "e2"], ["a1"]);
            const ticket = await deployment.ticket("e1");
            const issuer = deployment.issuerOf(ticket);
            const other = issuer === "e1" ? "e2" : "e1";
            const tasks = [{ runMs: 600_000, value: 1 }];
            const own = deployment.submit(issuer, ticket, tasks, { deadlineMs: 600_000 });
            await Deployment.until("the start", () => deployment.running === 1);
            deployment.rules.cut([issuer], [other]);
            await deployment.call(other, "DELETE", `/v1/jobs/${ticket}`);
            await Deployment.until("the abort", () => deployment.running === 0);
            assert.equal((await own).body.verdict, "may_have_run");
            const settled = await deployment.submit(other, ticket, tasks);
            assert.equal(settled.body.verdict, "may_have_run");
        });
    });
});
