import { afterEach, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { EntryEvent } from "../../entry/EntryEvent.js";
import { checkAnswer } from "./checkAnswer.js";
import { checkEntriesServe } from "./checkEntriesServe.js";
import { Deployment } from "./Deployment.js";

/** The two workers have 8 slots in total, so some tasks run and the others are queued when the issuer is paused. */
const RUNS_MS = Array.from({ length: 16 }, () => 600);

describe("Pause of the issuer", { timeout: 300_000 }, () => {
    let deployment: Deployment;

    afterEach(async () => {
        await deployment.stop();
    });

    describe("SIGSTOP for longer than its heartbeat timeout", () => {
        for (const pauseMs of [8000, 20_000]) {
            it(`guards against a second start by an issuer that resumes after ${pauseMs} ms`, async () => {
                deployment = await Deployment.start(2, 2);
                const [ticket] = await deployment.tickets(1);
                const { issuer, other } = deployment.issuerAndOther(ticket!);
                const own = deployment.submit(issuer, ticket!, RUNS_MS);
                await Promise.race([deployment.untilStarted(1), own]);
                issuer.role.kill("SIGSTOP");
                const pause = sleep(pauseMs);
                const settled = await other.caller.answer(ticket!, RUNS_MS);
                await checkAnswer(deployment, settled, RUNS_MS.length);
                await pause;
                issuer.role.kill("SIGCONT");
                await checkAnswer(deployment, await own, RUNS_MS.length);
                await checkAnswer(deployment, settled, RUNS_MS.length);
                await deployment.untilConverged();
                await checkEntriesServe(deployment);
            });
        }

        it("guards against an entry that keeps an incarnation that agents have fenced", async () => {
            // With so few record bytes the agents drop the fence of the ticket and fence its issuer instead.
            deployment = await Deployment.start(2, 2, { recordBytes: 1024 });
            const [ticket] = await deployment.tickets(1);
            const { issuer, other } = deployment.issuerAndOther(ticket!);
            const own = deployment.submit(issuer, ticket!, RUNS_MS);
            await Promise.race([deployment.untilStarted(1), own]);
            issuer.role.kill("SIGSTOP");
            await checkAnswer(deployment, await other.caller.answer(ticket!, RUNS_MS), RUNS_MS.length);
            await deployment.untilConverged([issuer]);
            for (const next of await deployment.tickets(20, other)) {
                await checkAnswer(deployment, await other.caller.answer(next, [0, 0, 0, 0]), 4);
            }
            issuer.role.kill("SIGCONT");
            await checkAnswer(deployment, await own, RUNS_MS.length);
            await checkEntriesServe(deployment);
            await issuer.role.untilEvent(EntryEvent.IssuerFenced.number);
            await deployment.untilConverged();
            await checkEntriesServe(deployment);
        });
    });
});
