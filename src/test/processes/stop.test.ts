import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import { CliEvent } from "../../cli/CliEvent.js";
import { JobState } from "../../common/job/JobState.js";
import { Verdict } from "../../common/Verdict.js";
import { checkAnswer } from "./checkAnswer.js";
import { checkEntriesServe } from "./checkEntriesServe.js";
import { Deployment } from "./Deployment.js";

const LONG_MS = 2500;
const RUNS_MS = [LONG_MS, LONG_MS, LONG_MS, LONG_MS];

/** More tasks than the two workers have slots, so some are queued. */
const MANY_RUNS_MS = Array.from({ length: 24 }, () => 500);

const ENDLESS_MS = 60_000;

describe("Planned stop", { timeout: 300_000 }, () => {
    let deployment: Deployment;

    beforeEach(async () => {
        deployment = await Deployment.start(2, 2);
    });

    afterEach(async () => {
        await deployment.stop();
    });

    describe("SIGTERM to the issuer", () => {
        it("guards against an issuer that cuts off open requests or accepts new jobs", async () => {
            const [own, relayed, late] = await deployment.tickets(3);
            const { issuer, other } = deployment.issuerAndOther(own!);
            const answers = [issuer.caller.answer(own!, MANY_RUNS_MS), other.caller.answer(relayed!, MANY_RUNS_MS)];
            await deployment.untilStarted(8);
            issuer.role.kill("SIGTERM");
            await issuer.role.untilEvent(CliEvent.DrainStarted.number);
            const refused = await issuer.caller.submit(late!, [10]);
            assert.equal(refused.status, 503);
            assert.equal(refused.refusal?.verdict, Verdict.NotRun);
            for (const answer of await Promise.all(answers)) {
                await checkAnswer(deployment, answer, MANY_RUNS_MS.length);
                assert.equal(answer.state, JobState.Complete);
            }
            assert.deepEqual(await issuer.role.untilExit(), { code: 0, signal: null });
            assert.ok(!(await deployment.starts()).has(deployment.keyOf(late!, 0)));
            await deployment.untilConverged();
            await checkEntriesServe(deployment);
        });

        it("guards against a second signal that does not end the process, or whose log hides the unfinished work", async () => {
            const [ticket] = await deployment.tickets(1);
            const { issuer } = deployment.issuerAndOther(ticket!);
            const lost = issuer.caller.submit(ticket!, [ENDLESS_MS]);
            await deployment.untilStarted(1);
            issuer.role.kill("SIGTERM");
            await issuer.role.untilEvent(CliEvent.DrainStarted.number);
            issuer.role.kill("SIGTERM");
            const [end] = await Promise.all([issuer.role.untilExit(), assert.rejects(lost)]);
            assert.deepEqual(end, { code: 1, signal: null });
            assert.equal(issuer.role.count(CliEvent.DrainForced.number), 1);
            assert.equal(issuer.role.count(CliEvent.WorkLeft.number), 1);
        });
    });

    describe("SIGTERM to an agent", () => {
        it("guards against an agent that cuts off running tasks or starts new ones", async () => {
            const [first, second] = await deployment.tickets(2);
            const [entry] = deployment.entries;
            const answers = [entry!.caller.answer(first!, RUNS_MS), entry!.caller.answer(second!, RUNS_MS)];
            await deployment.untilStarted(2 * RUNS_MS.length);
            const [leaving] = deployment.workers;
            leaving!.agent.kill("SIGTERM");
            await leaving!.agent.untilEvent(CliEvent.DrainStarted.number);
            const before = Object.keys(await deployment.startsOf(leaving!)).length;
            const [third] = await deployment.tickets(1);
            answers.push(entry!.caller.answer(third!, RUNS_MS));
            for (const answer of await Promise.all(answers)) {
                await checkAnswer(deployment, answer, RUNS_MS.length);
                assert.equal(answer.state, JobState.Complete);
            }
            assert.deepEqual(await leaving!.agent.untilExit(), { code: 0, signal: null });
            assert.equal(Object.keys(await deployment.startsOf(leaving!)).length, before);
            await deployment.untilConverged();
            await checkEntriesServe(deployment);
        });

        it("guards against a second signal that does not end the process, or whose log hides the unfinished work", async () => {
            const [ticket] = await deployment.tickets(1);
            const open = deployment.entries[0]!.caller.answer(ticket!, [ENDLESS_MS]);
            await deployment.untilStarted(1);
            const counts = await Promise.all(deployment.workers.map(worker => deployment.startsOf(worker)));
            const { agent } = deployment.workers[counts.findIndex(count => Object.keys(count).length > 0)]!;
            agent.kill("SIGTERM");
            await agent.untilEvent(CliEvent.DrainStarted.number);
            agent.kill("SIGTERM");
            assert.deepEqual(await agent.untilExit(), { code: 1, signal: null });
            assert.equal(agent.count(CliEvent.WorkLeft.number), 1);
            const answer = await open;
            await checkAnswer(deployment, answer, 1);
            assert.equal(answer.tasks[0]!.verdict, Verdict.MayHaveRun);
        });
    });
});
