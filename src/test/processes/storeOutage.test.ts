import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { checkEntriesServe } from "./checkEntriesServe.js";
import { ChildRole } from "./ChildRole.js";
import { Deployment } from "./Deployment.js";

const OK = 200;
const UNAVAILABLE = 503;

describe("Outage of the store", { timeout: 300_000 }, () => {
    let deployment: Deployment;

    afterEach(async () => {
        await deployment.stop();
    });

    it("guards against a deployment that needs the store to run jobs, to add processes or to remove them", async () => {
        deployment = await Deployment.start(2, 2);
        const revision = await deployment.entries[0]!.caller.revision();
        await deployment.platform!.destroy();
        await checkEntriesServe(deployment);
        assert.equal(await deployment.putSection(revision), UNAVAILABLE);
        const joined = await deployment.addEntry();
        await ChildRole.until("the configuration at the new entry", async () => {
            return await joined.caller.revision() === revision;
        });
        await deployment.addWorker();
        await deployment.untilConverged();
        await checkEntriesServe(deployment);
        const [first, second] = deployment.workers;
        first!.agent.kill("SIGTERM");
        assert.deepEqual(await first!.agent.untilExit(), { code: 0, signal: null });
        second!.agent.kill("SIGKILL");
        await second!.agent.untilExit();
        await deployment.untilConverged();
        await checkEntriesServe(deployment);
        for (const entry of deployment.entries) {
            assert.equal(await entry.caller.revision(), revision);
        }
    });

    it("guards against a change that does not come into force at every entry", async () => {
        deployment = await Deployment.start(2, 1);
        const revision = await deployment.entries[0]!.caller.revision();
        assert.equal(await deployment.putSection(revision), OK);
        await ChildRole.until("the new revision everywhere", async () => {
            const seen = await Promise.all(deployment.entries.map(entry => entry.caller.revision()));
            return seen.every(found => found === revision + 1);
        });
    });
});
