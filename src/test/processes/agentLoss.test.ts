import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { JobState } from "../../common/job/JobState.js";
import { Verdict } from "../../common/Verdict.js";
import { checkAnswer } from "./checkAnswer.js";
import { checkEntriesServe } from "./checkEntriesServe.js";
import { Deployment } from "./Deployment.js";

const LONG_MS = 4000;
const JOBS = 4;
const RUNS_MS = [LONG_MS, LONG_MS];

/** Number of all tasks. It equals the slots of the two workers, so that all tasks run at the same time. */
const STARTS = JOBS * RUNS_MS.length;

/** Time limit for the answers: longer than the run time, far below the deadline of the jobs. */
const QUICK_MS = 20_000;

describe("Loss of an agent", { timeout: 300_000 }, () => {
    let deployment: Deployment;

    beforeEach(async () => {
        deployment = await Deployment.start(2, 2);
    });

    afterEach(async () => {
        await deployment.stop();
    });

    const submitAll = async () => {
        const tickets = await deployment.tickets(JOBS);
        const answers = tickets.map(ticket => deployment.entries[0]!.caller.answer(ticket, RUNS_MS));
        await deployment.untilStarted(STARTS);
        return answers;
    };

    it("guards against failed tasks other than those that a killed agent had started", async () => {
        const open = await submitAll();
        const startedAt = performance.now();
        const [killed] = deployment.workers;
        const there = await deployment.startsOf(killed!);
        killed!.agent.kill("SIGKILL");
        for (const answer of await Promise.all(open)) {
            await checkAnswer(deployment, answer, RUNS_MS.length);
            for (const { index, verdict } of answer.tasks) {
                const expected = deployment.keyOf(answer.ticket, index) in there ? Verdict.MayHaveRun : Verdict.Ran;
                assert.equal(verdict, expected);
            }
            const failed = answer.tasks.some(task => task.verdict !== Verdict.Ran);
            assert.equal(answer.state, failed ? JobState.Failed : JobState.Complete);
        }
        assert.ok(performance.now() - startedAt < QUICK_MS, "the answers came only at the deadline");
        await deployment.untilConverged();
        await checkEntriesServe(deployment);
    });

    it("guards against lost or repeated tasks of an agent that is paused and resumes", async () => {
        const open = await submitAll();
        const [paused] = deployment.workers;
        paused!.agent.kill("SIGSTOP");
        await sleep(2 * LONG_MS);
        paused!.agent.kill("SIGCONT");
        for (const answer of await Promise.all(open)) {
            await checkAnswer(deployment, answer, RUNS_MS.length);
            assert.equal(answer.state, JobState.Complete);
        }
        await deployment.untilConverged();
        await checkEntriesServe(deployment);
    });
});
