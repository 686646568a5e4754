import assert from "node:assert/strict";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";
import { SilentLog } from "../common/log/SilentLog.js";
import { NoMetrics } from "../common/NoMetrics.js";
import { SeededRandom } from "../common/SeededRandom.js";
import { EndpointSettings } from "../common/settings/EndpointSettings.js";
import { SystemClock } from "../common/SystemClock.js";
import { FakeEntry } from "../test/FakeEntry.js";
import { Endpoint } from "./Endpoint.js";

const LONG_MS = 60_000;

describe("Endpoint", { timeout: 30_000 }, () => {
    const calls: string[] = [];
    let agent: Server;
    let endpoint: Endpoint;

    const start = (more: object) => {
        const { port } = agent.address() as AddressInfo;
        const fixed = { service: "s", http: { host: "127.0.0.1", port: 0 }, agent: `http://127.0.0.1:${port}` };
        const runtime = {
            clock: new SystemClock(),
            log: new SilentLog(),
            metrics: new NoMetrics(),
            random: new SeededRandom(1),
        };
        return Endpoint.start(EndpointSettings.parse({ ...fixed, ...more }), runtime);
    };
    const post = (body: unknown, signal?: AbortSignal) => {
        const headers = { "x-waxwingshunt-issuer": "i", "x-waxwingshunt-sequence": "1", "x-waxwingshunt-task": "2" };
        const init = {
            method: "POST",
            headers,
            body: JSON.stringify(body),
            ...(signal === undefined ? {} : { signal }),
        };
        return fetch(`http://127.0.0.1:${endpoint.port}/`, init);
    };

    beforeEach(async () => {
        calls.length = 0;
        agent = createServer((request, response) => {
            calls.push(request.method ?? "");
            response.end("{}");
        });
        await new Promise<void>(resolve => agent.listen(0, "127.0.0.1", resolve));
        endpoint = await start({ speed: 2 });
    });

    afterEach(async () => {
        await endpoint.dispose();
        agent.closeAllConnections();
        agent.close();
    });

    it("guards against a wrong response, run time or number of starts", async () => {
        assert.deepEqual(await (await post({ runMs: 20, value: [1] })).json(), { value: [1], runMs: 10 });
        assert.equal((await post({ runMs: 1, fail: true })).status, 500);
        assert.equal(endpoint.starts.get("i/1/2"), 2);
        assert.equal((await post({ runMs: "1" })).status, 400);
    });

    it("guards against different faults in two runs with the same seed", async () => {
        const statuses: number[][] = [];
        for (let run = 0; run < 2; run++) {
            await endpoint.dispose();
            endpoint = await start({ failureShare: 0.5, seed: 5 });
            const seen: number[] = [];
            for (let task = 0; task < 20; task++) {
                seen.push((await post({ runMs: 0 })).status);
            }
            statuses.push(seen);
        }
        assert.deepEqual(statuses[0], statuses[1]);
        assert.ok(statuses[0]!.includes(200) && statuses[0]!.includes(500));
    });

    it("guards against a task that goes on after its caller has disconnected", async () => {
        const abort = new AbortController();
        const answer = post({ runMs: LONG_MS }, abort.signal);
        await FakeEntry.until("a running task", () => endpoint.running === 1);
        abort.abort();
        await assert.rejects(answer);
        await FakeEntry.until("no running task", () => endpoint.running === 0);
    });

    it("guards against a drain that ends before running tasks, or without a withdrawal from the agent", async () => {
        const answer = post({ runMs: 300 });
        await FakeEntry.until("a running task", () => endpoint.running === 1);
        assert.deepEqual(await endpoint.drain(LONG_MS), []);
        assert.equal((await answer).status, 200);
        assert.equal(calls.at(-1), "DELETE");
        assert.equal((await post({ runMs: 1 })).headers.get("x-waxwingshunt-not-run"), "true");
    });
});
