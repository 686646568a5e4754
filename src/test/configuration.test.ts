import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import { request } from "undici";
import { ConfigurationStore } from "../common/configuration/ConfigurationStore.js";
import { SilentLog } from "../common/log/SilentLog.js";
import { NoMetrics } from "../common/NoMetrics.js";
import { SeededRandom } from "../common/SeededRandom.js";
import { SystemClock } from "../common/SystemClock.js";
import type { AttachedAgent } from "../entry/AttachedAgent.js";
import { Platform } from "../platform/Platform.js";
import { FastClock } from "./FastClock.js";
import { StateEntry } from "./StateEntry.js";

const CLOCK_FACTOR = 5;
const WAIT_LIMIT_MS = 60_000;
const WAIT_STEP_MS = 10;
const SECTION = { team: "a", services: { payout: { shards: 2 } } };

async function until(condition: () => boolean, what: string): Promise<void> {
    const deadline = performance.now() + WAIT_LIMIT_MS;
    while (!condition()) {
        assert.ok(performance.now() < deadline, `timed out waiting for: ${what}`);
        await new Promise(resolve => setTimeout(resolve, WAIT_STEP_MS));
    }
}

describe("configuration and members over sockets", () => {
    let platform: Platform;
    let entries: StateEntry[] = [];
    let seeds: string[] = [];

    beforeEach(async () => {
        const clock = new SystemClock();
        const runtime = { clock, log: new SilentLog(), metrics: new NoMetrics(), random: new SeededRandom(1) };
        platform = await Platform.start({ http: { host: "127.0.0.1", port: 0 }, writeDelayMs: 1 }, runtime);
        entries = [];
        seeds = [];
    });

    afterEach(async () => {
        for (const entry of entries) {
            entry.dispose();
        }
        await platform.dispose();
    });

    async function startEntry(id: string, agents: AttachedAgent[] = []): Promise<StateEntry> {
        const options = { platform: platformUrl(""), seeds: [...seeds], clock: new FastClock(CLOCK_FACTOR) };
        const entry = await StateEntry.start(id, options, agents);
        entries.push(entry);
        seeds.push(entry.address);
        return entry;
    }

    function platformUrl(path: string): string {
        return `http://127.0.0.1:${platform.port}${path}`;
    }

    async function injectFaults(plan: Record<string, unknown>): Promise<void> {
        await request(platformUrl("/v1/faults"), { method: "POST", body: JSON.stringify(plan) });
    }

    async function readStatistics(): Promise<Record<string, unknown>> {
        const { body } = await request(platformUrl("/v1/statistics"));
        return await body.json() as Record<string, unknown>;
    }

    async function untilRevision(revision: number): Promise<void> {
        await until(() => entries.every(entry => entry.store.revision === revision), `revision ${revision} everywhere`);
    }

    async function untilMembers(count: number): Promise<void> {
        await until(() => entries.every(entry => entry.membership.live().length === count), `${count} members`);
    }

    for (const count of [2, 3]) {
        it(`puts changes and deletions into force at ${count} entries`, async () => {
            for (let index = 0; index < count; index++) {
                await startEntry(`e${index}`);
            }
            await untilMembers(count);
            const put = await entries[0]!.request("PUT", "/v1/config/sections/a", "operator a", SECTION, 0);
            assert.deepEqual([put.status, put.body["revision"]], [200, 1]);
            await untilRevision(1);
            assert.ok(entries.every(entry => entry.store.service("payout")?.shards === 2));
            const status = () => entries[0]!.configuration.status();
            await until(() => status().lagging.length === 0, "no entry lags");
            assert.deepEqual(status().entries.length, count);
            await entries[1]!.request("DELETE", "/v1/config/sections/a", "operator a", undefined, 1);
            await untilRevision(2);
            assert.ok(entries.every(entry => entry.store.team("a") === undefined));
        });
    }

    it("removes a killed entry from the member list of every other entry", async () => {
        for (const id of ["e0", "e1", "e2"]) {
            await startEntry(id);
        }
        await untilMembers(3);
        entries.splice(1, 1)[0]!.dispose();
        await untilMembers(2);
        assert.ok(entries.every(entry => entry.membership.live().every(row => row.id !== "e1")));
    });

    describe("while the store is down", () => {
        it("refuses changes as not run, and a new entry refuses work until a peer sends it the configuration", async () => {
            const first = await startEntry("e0");
            await first.request("PUT", "/v1/config/sections/a", "operator a", SECTION, 0);
            await untilRevision(1);
            await injectFaults({ mode: "down" });
            const put = await first.request("PUT", "/v1/config/sections/a", "operator a", SECTION, 1);
            assert.deepEqual([put.status, put.body["verdict"]], [503, "not_run"]);
            const second = await startEntry("e1");
            await untilRevision(1);
            assert.equal(second.configuration.refusal(), undefined);
        });

        it("gets the configuration from an agent when no other entry is left", async () => {
            await injectFaults({ mode: "down" });
            const copy = new ConfigurationStore();
            copy.adopt(4, [{ team: "a", revision: 4, body: SECTION }]);
            const agents: AttachedAgent[] = [];
            const entry = await startEntry("e0", agents);
            assert.equal(entry.configuration.refusal()?.code, "no_configuration");
            agents.push({
                id: "agent",
                service: "payout",
                revision: 4,
                section: 4,
                send: message => {
                    assert.ok(message.kind === "pull");
                    entry.configuration.receive(copy.changesSince(message.since), "agent", () => true);
                    return true;
                },
            });
            await untilRevision(4);
            assert.equal(entry.configuration.refusal(), undefined);
        });
    });

    it("pushes changes to attached agents", async () => {
        const copy = new ConfigurationStore();
        const agent: AttachedAgent = {
            id: "agent",
            service: "payout",
            get revision() {
                return copy.revision;
            },
            section: 0,
            send: message => {
                assert.ok(message.kind === "configuration");
                copy.adopt(message.revision, message.sections);
                return true;
            },
        };
        const entry = await startEntry("e0", [agent]);
        await entry.request("PUT", "/v1/config/sections/a", "operator a", SECTION, 0);
        await until(() => copy.revision === 1, "the agent has the change");
        assert.ok(copy.service("payout"));
    });

    it("resolves the outcome of a change whose reply was lost, and applies it once", async () => {
        const entry = await startEntry("e0");
        while ((await readStatistics())["writes"] === 0) {
            await new Promise(setImmediate);
        }
        await injectFaults({ mode: "up", loseReplies: 1 });
        const put = await entry.request("PUT", "/v1/config/sections/a", "operator a", SECTION, 0);
        assert.equal(put.status, 200);
        await untilRevision(put.body["revision"] as number);
        assert.equal(put.body["revision"], 1);
        assert.equal((await readStatistics())["lostReplies"], 1);
    });

    it("accepts a change while the store is slow", async () => {
        const entry = await startEntry("e0");
        await injectFaults({ mode: "slow", delayMs: 50 });
        const put = await entry.request("PUT", "/v1/config/sections/a", "operator a", SECTION, 0);
        assert.equal(put.status, 200);
    });

    it("accepts one of two concurrent changes of a section, and shows the other operator both differences", async () => {
        const [first, second] = [await startEntry("e0"), await startEntry("e1")];
        const puts = await Promise.all(
            [first, second].map((entry, index) =>
                entry.request("PUT", "/v1/config/sections/a", "operator a", { team: "a", weight: index + 2 }, 0)
            ),
        );
        assert.deepEqual(puts.map(put => put.status).sort(), [200, 412]);
        const lost = puts.find(put => put.status === 412)?.body;
        assert.equal(lost?.["revision"], 1);
        assert.equal((lost["changed"] as unknown[]).length, 1);
        assert.equal((lost["requested"] as unknown[]).length, 1);
    });

    describe("routes", () => {
        it("guards against access by operators of other teams, by callers and without a token", async () => {
            const entry = await startEntry("e0");
            const statusOf = async (holder: string, method: string, path: string) =>
                (await entry.request(method, path, holder, method === "PUT" ? SECTION : undefined, 0)).status;
            assert.equal(await statusOf("", "GET", "/v1/config"), 401);
            assert.equal(await statusOf("caller a", "GET", "/v1/config"), 403);
            assert.equal(await statusOf("operator b", "PUT", "/v1/config/sections/a"), 403);
            assert.equal(await statusOf("operator b", "DELETE", "/v1/config/sections/a"), 403);
            assert.equal(await statusOf("admin x", "PUT", "/v1/config/sections/a"), 200);
            const visible = await entry.request("GET", "/v1/config", "operator b");
            assert.ok(Array.isArray(visible.body["sections"]));
            assert.ok(!JSON.stringify(visible.body).includes("payout"));
        });

        it("guards against a change that does not name the revision it is based on", async () => {
            const entry = await startEntry("e0");
            const put = await entry.request("PUT", "/v1/config/sections/a", "operator a", SECTION);
            assert.equal(put.status, 428);
        });

        it("reports every error of a section, and accepts a valid one, without writing it", async () => {
            const entry = await startEntry("e0");
            const wrong = { team: "a", weight: -1, quota: { maxTasks: 0 } };
            const checked = await entry.request("POST", "/v1/config/check", "operator a", wrong);
            assert.equal(checked.status, 422);
            assert.equal((checked.body["faults"] as unknown[]).length, 2);
            assert.equal((await entry.request("POST", "/v1/config/check", "operator a", SECTION)).status, 200);
            const put = await entry.request("PUT", "/v1/config/sections/a", "operator a", wrong, 0);
            assert.equal(put.status, 422);
            assert.equal((await entry.request("GET", "/v1/config/sections/a", "operator a")).status, 404);
        });

        it("reports the outcome of the write with a token, and may_have_run while the store is down", async () => {
            const entry = await startEntry("e0");
            const path = "/v1/config/tokens/0123456789abcdef-0";
            const asked = await entry.request("GET", path, "operator a");
            assert.deepEqual([asked.status, asked.body["kind"]], [200, "not_applied"]);
            await injectFaults({ mode: "down" });
            const again = await entry.request("GET", path, "operator a");
            assert.deepEqual([again.status, again.body["verdict"]], [503, "may_have_run"]);
        });
    });
});
