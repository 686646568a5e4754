import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { JobState } from "../../common/job/JobState.js";
import { Verdict } from "../../common/Verdict.js";
import { EntryEvent } from "../../entry/EntryEvent.js";
import { checkAnswer } from "./checkAnswer.js";
import { checkWork } from "./checkWork.js";
import { Deployment } from "./Deployment.js";

/** Two workers have 8 slots in all, so some of these tasks run and others wait when the fault strikes. */
const RUNS_MS = Array.from({ length: 16 }, () => 600);

const LONG_MS = 3000;

describe("Loss of the issuer", { timeout: 120_000 }, () => {
    let deployment: Deployment;

    afterEach(async () => {
        await deployment.stop();
    });

    describe("SIGKILL while tasks run", () => {
        it("guards against a second start or a wrong verdict after resubmission", async () => {
            deployment = await Deployment.start(3, 2);
            const [ticket] = await deployment.tickets(1);
            const { issuer } = deployment.split(ticket!);
            const others = deployment.entries.filter(entry => entry !== issuer);
            const lost = issuer.caller.submit(ticket!, RUNS_MS);
            await deployment.untilStarted(1);
            issuer.role.kill("SIGKILL");
            await assert.rejects(lost);
            const again = [...others, ...others, ...others].map(entry => entry.caller.answer(ticket!, RUNS_MS));
            const answers = await Promise.all(again);
            for (const answer of answers) {
                await checkAnswer(deployment, answer, RUNS_MS.length);
                assert.equal(answer.state, JobState.Failed);
                assert.ok(answer.tasks.every(task => task.verdict !== Verdict.MayHaveRun));
            }
            assert.ok(answers[0]!.tasks.some(task => task.verdict === Verdict.Ran));
        });

        it("guards against a failed answer when every task ran to its end", async () => {
            deployment = await Deployment.start(2, 2);
            const [ticket] = await deployment.tickets(1);
            const { issuer, other } = deployment.split(ticket!);
            const runs = [LONG_MS, LONG_MS, LONG_MS];
            const relayed = other.caller.answer(ticket!, runs);
            await deployment.untilStarted(runs.length);
            issuer.role.kill("SIGKILL");
            const answers = await Promise.all([relayed, other.caller.answer(ticket!, runs)]);
            for (const answer of answers) {
                await checkAnswer(deployment, answer, runs.length);
                assert.equal(answer.state, JobState.Complete);
            }
        });

        it("guards against a false verdict when an agent dies with the issuer", async () => {
            deployment = await Deployment.start(2, 2);
            const [ticket] = await deployment.tickets(1);
            const { issuer, other } = deployment.split(ticket!);
            const lost = issuer.caller.submit(ticket!, RUNS_MS);
            await deployment.untilStarted(8);
            issuer.role.kill("SIGKILL");
            deployment.workers[0]!.agent.kill("SIGKILL");
            await assert.rejects(lost);
            const answer = await other.caller.answer(ticket!, RUNS_MS);
            await checkAnswer(deployment, answer, RUNS_MS.length);
            assert.equal(answer.state, JobState.Failed);
            const dead = await deployment.startsOf(deployment.workers[0]!);
            for (const { index, verdict } of answer.tasks) {
                const there = dead[deployment.keyOf(ticket!, index)] !== undefined;
                assert.ok(!there || verdict === Verdict.MayHaveRun, `task ${index}: ${verdict}`);
            }
        });
    });

    describe("SIGSTOP for longer than its liveness", () => {
        for (const pauseMs of [8000, 20_000]) {
            it(`guards against a second start by an issuer that wakes after ${pauseMs} ms`, async () => {
                deployment = await Deployment.start(2, 2);
                const [ticket] = await deployment.tickets(1);
                const { issuer, other } = deployment.split(ticket!);
                const own = issuer.caller.answer(ticket!, RUNS_MS);
                await deployment.untilStarted(1);
                issuer.role.kill("SIGSTOP");
                const pause = sleep(pauseMs);
                const settled = await other.caller.answer(ticket!, RUNS_MS);
                await checkAnswer(deployment, settled, RUNS_MS.length);
                await pause;
                issuer.role.kill("SIGCONT");
                await checkAnswer(deployment, await own, RUNS_MS.length);
                await checkAnswer(deployment, settled, RUNS_MS.length);
                await deployment.untilSettled();
                await checkWork(deployment);
            });
        }

        it("guards against an entry that keeps an incarnation that agents have fenced", async () => {
            // A bound this small makes the agents drop the fence of the ticket and fence its issuer instead.
            deployment = await Deployment.start(2, 2, { recordBytes: 1024 });
            const [ticket] = await deployment.tickets(1);
            const { issuer, other } = deployment.split(ticket!);
            const own = issuer.caller.answer(ticket!, RUNS_MS);
            await deployment.untilStarted(1);
            issuer.role.kill("SIGSTOP");
            await checkAnswer(deployment, await other.caller.answer(ticket!, RUNS_MS), RUNS_MS.length);
            await deployment.untilSettled([issuer]);
            for (const next of await deployment.tickets(20, other)) {
                await checkAnswer(deployment, await other.caller.answer(next, [0, 0, 0, 0]), 4);
            }
            issuer.role.kill("SIGCONT");
            await checkAnswer(deployment, await own, RUNS_MS.length);
            await checkWork(deployment);
            await issuer.role.untilEvent(EntryEvent.IssuerFenced.number);
            await deployment.untilSettled();
            await checkWork(deployment);
        });
    });
});
