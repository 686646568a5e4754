import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { AgentEvent } from "../../agent/AgentEvent.js";
import { JobState } from "../../common/job/JobState.js";
import { Verdict } from "../../common/Verdict.js";
import { checkAnswer } from "./checkAnswer.js";
import { ChildRole } from "./ChildRole.js";
import { Deployment } from "./Deployment.js";

/** More work than the two workers finish while their home entry changes. */
const MANY_RUNS_MS = Array.from({ length: 64 }, () => 1000);

/** Time limit for a reply, far below the deadline of the jobs. */
const QUICK_MS = 10_000;

describe("Change of the home entry", { timeout: 300_000 }, () => {
    let deployment: Deployment;

    afterEach(async () => {
        await deployment.stop();
    });

    it("guards against starvation of the queue of the previous home entry", async () => {
        deployment = await Deployment.start(2, 2);
        const [ticket] = await deployment.tickets(1);
        const open = deployment.issuerAndOther(ticket!).issuer.caller.answer(ticket!, MANY_RUNS_MS);
        await deployment.untilStarted(1);
        await deployment.addHome();
        const answer = await open;
        await checkAnswer(deployment, answer, MANY_RUNS_MS.length);
        assert.equal(answer.state, JobState.Complete);
    });

    it("guards against jobs of the previous home entry that wait for their deadline after its agents have moved", async () => {
        deployment = await Deployment.start(2, 2);
        const [ticket] = await deployment.tickets(1);
        const { issuer } = deployment.issuerAndOther(ticket!);
        await deployment.addHome();
        await ChildRole.until("the detachment of all agents from the previous home entry", () => {
            const moved = AgentEvent.Detached.number;
            return deployment.workers.every(({ agent }) =>
                agent.lines.some(({ context }) => {
                    const left = context["event"] === moved && context["state"] === "retiring";
                    return left && context["entry"] === issuer.role.name;
                })
            );
        });
        const startedAt = performance.now();
        const reply = await issuer.caller.submit(ticket!, [10, 10]);
        assert.ok(performance.now() - startedAt < QUICK_MS, "the job waited for its deadline");
        if (reply.answer === undefined) {
            assert.equal(reply.refusal.verdict, Verdict.NotRun);
            return;
        }
        await checkAnswer(deployment, reply.answer, 2);
        assert.ok(reply.answer.state === JobState.Complete || reply.answer.verdict === Verdict.NotRun);
    });
});
