import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { JobState } from "../../common/job/JobState.js";
import { Verdict } from "../../common/Verdict.js";
import { checkAnswer } from "./checkAnswer.js";
import { Deployment } from "./Deployment.js";

/** The two workers have 8 slots in total, so some of these tasks run and the others are queued when the issuer dies. */
const RUNS_MS = Array.from({ length: 16 }, () => 600);

const LONG_MS = 3000;

describe("Loss of the issuer", { timeout: 300_000 }, () => {
    let deployment: Deployment;

    afterEach(async () => {
        await deployment.stop();
    });

    describe("SIGKILL while tasks run", () => {
        it("guards against a second start or a wrong verdict after resubmission", async () => {
            deployment = await Deployment.start(3, 2);
            const [ticket] = await deployment.tickets(1);
            const { issuer } = deployment.issuerAndOther(ticket!);
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

        it("guards against a failed job answer when every task finished", async () => {
            deployment = await Deployment.start(2, 2);
            const [ticket] = await deployment.tickets(1);
            const { issuer, other } = deployment.issuerAndOther(ticket!);
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
            const { issuer, other } = deployment.issuerAndOther(ticket!);
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
});
