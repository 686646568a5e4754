import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import { request } from "undici";
import { SilentLog } from "../common/log/SilentLog.js";
import { NoMetrics } from "../common/NoMetrics.js";
import { SeededRandom } from "../common/SeededRandom.js";
import { SystemClock } from "../common/SystemClock.js";
import { HttpTable } from "../common/table/HttpTable.js";
import { Platform } from "./Platform.js";

const LIMIT_MS = 20_000;

describe("Platform", () => {
    let platform: Platform;
    let table: HttpTable;

    beforeEach(async () => {
        const runtime = {
            clock: new SystemClock(),
            log: new SilentLog(),
            metrics: new NoMetrics(),
            random: new SeededRandom(1),
        };
        platform = await Platform.start({ http: { host: "127.0.0.1", port: 0 }, writeDelayMs: 0 }, runtime);
        table = new HttpTable(urlOf(""), LIMIT_MS);
    });

    afterEach(async () => {
        table.dispose();
        await platform.dispose();
    });

    function urlOf(path: string): string {
        return `http://127.0.0.1:${platform.port}${path}`;
    }

    async function injectFaults(plan: Record<string, unknown>): Promise<void> {
        const { statusCode } = await request(urlOf("/v1/faults"), { method: "POST", body: JSON.stringify(plan) });
        assert.equal(statusCode, 200);
    }

    async function write(key: string, value: unknown, revision: number): Promise<boolean> {
        return table.transact({ conditions: [{ key, revision }], writes: [{ key, value }] });
    }

    describe("table", () => {
        it("reads, lists in key order and deletes rows whose keys have any character", async () => {
            for (const key of ["p/č b", "p/a", "q/a"]) {
                assert.equal(await write(key, { key }, 0), true);
            }
            assert.deepEqual(await table.read("p/č b"), { key: "p/č b", value: { key: "p/č b" }, revision: 1 });
            assert.deepEqual((await table.list("p/")).map(row => row.key), ["p/a", "p/č b"]);
            assert.equal(await write("p/a", undefined, 1), true);
            assert.equal(await table.read("p/a"), undefined);
        });

        it("guards against a transaction that is applied in part", async () => {
            await write("a", 1, 0);
            const conditions = [{ key: "b", revision: 0 }, { key: "a", revision: 7 }];
            assert.equal(await table.transact({ conditions, writes: [{ key: "b", value: 1 }] }), false);
            assert.equal(await table.read("b"), undefined);
        });
    });

    describe("faults", () => {
        it("refuses requests while down, and serves them again afterwards", async () => {
            await injectFaults({ mode: "down" });
            await assert.rejects(table.read("a"), { code: "store_unavailable", verdict: "not_run" });
            await assert.rejects(write("a", 1, 0), { code: "store_unavailable", verdict: "may_have_run" });
            await injectFaults({ mode: "up" });
            assert.equal(await table.read("a"), undefined);
        });

        it("guards against waiting for a slow store longer than the timeout", async () => {
            await injectFaults({ mode: "slow", delayMs: 60_000 });
            const shortTimeoutTable = new HttpTable(urlOf(""), 50);
            await assert.rejects(shortTimeoutTable.list(""), { code: "store_unavailable" });
            shortTimeoutTable.dispose();
        });

        it("loses the reply to a write that took effect, as often as the fault plan says", async () => {
            await injectFaults({ mode: "up", loseReplies: 1 });
            await assert.rejects(write("a", 1, 0), { code: "store_unavailable", verdict: "may_have_run" });
            assert.deepEqual(await table.read("a"), { key: "a", value: 1, revision: 1 });
            assert.equal(await write("a", 2, 1), true);
        });

        it("guards against an error without a code when the store cannot be reached", async () => {
            await platform.dispose();
            await assert.rejects(table.read("a"), { code: "store_unavailable" });
        });
    });

    it("stores objects and counts reads and writes", async () => {
        const { statusCode } = await request(urlOf("/v1/objects/o"), { method: "PUT", body: "content" });
        assert.equal(statusCode, 204);
        assert.equal(await (await request(urlOf("/v1/objects/o"))).body.text(), "content");
        assert.equal((await request(urlOf("/v1/objects/p"))).statusCode, 404);
        const statistics = await (await request(urlOf("/v1/statistics"))).body.json();
        assert.deepEqual(statistics, { reads: 2, writes: 1, refused: 0, lostReplies: 0, rows: 0 });
    });
});
