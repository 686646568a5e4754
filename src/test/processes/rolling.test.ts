import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { Deployment } from "./Deployment.js";
import { LoadCaller } from "./LoadCaller.js";

const CALLERS = 4;

describe("Rolling replacement", { timeout: 300_000 }, () => {
    let deployment: Deployment;

    afterEach(async () => {
        await deployment.stop();
    });

    it("guards against lost jobs, second starts and jobs that fail after a task has started, under load", async () => {
        deployment = await Deployment.start(2, 2);
        const callers = Array.from({ length: CALLERS }, () => new LoadCaller(deployment));
        const loads = callers.map(caller => caller.run());
        for (const worker of [...deployment.workers]) {
            await deployment.addWorker();
            worker.agent.kill("SIGTERM");
            assert.deepEqual(await worker.agent.untilExit(), { code: 0, signal: null });
        }
        for (const entry of [...deployment.entries]) {
            await deployment.addEntry();
            entry.role.kill("SIGTERM");
            assert.deepEqual(await entry.role.untilExit(), { code: 0, signal: null });
        }
        callers.forEach(caller => caller.stop());
        await Promise.all(loads);
        const problems = callers.flatMap(caller => caller.problems);
        assert.deepEqual(problems, []);
        const starts = await deployment.starts();
        assert.deepEqual([...starts].filter(([, count]) => count > 1), []);
        const completed = callers.flatMap(caller => caller.completed);
        assert.ok(completed.length > 0);
        for (const { ticket, tasks } of completed) {
            for (let task = 0; task < tasks; task++) {
                assert.equal(starts.get(deployment.keyOf(ticket, task)), 1);
            }
        }
    });
});
