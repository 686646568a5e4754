import assert from "node:assert/strict";
import { type AddressInfo, createServer } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";
import { FaultCode } from "../common/FaultCode.js";
import { SilentLog } from "../common/log/SilentLog.js";
import { NoMetrics } from "../common/NoMetrics.js";
import { rendezvousRank } from "../common/rendezvousRank.js";
import { SeededRandom } from "../common/SeededRandom.js";
import { AgentSettings } from "../common/settings/AgentSettings.js";
import { EndpointSettings } from "../common/settings/EndpointSettings.js";
import { shardOf } from "../common/shardOf.js";
import { SystemClock } from "../common/SystemClock.js";
import { Verdict } from "../common/Verdict.js";
import { Endpoint } from "../endpoint/Endpoint.js";
import { FakeEntry } from "../test/FakeEntry.js";
import { Agent } from "./Agent.js";

const SECRET = "a secret of the deployment";
const SLOTS = 2;
const LONG_MS = 60_000;
const ANY_PORT = { host: "127.0.0.1", port: 0 };

const runtime = {
    clock: new SystemClock(),
    log: new SilentLog(),
    metrics: new NoMetrics(),
    random: new SeededRandom(3),
};

describe("Agent", { timeout: 60_000 }, () => {
    let entry: FakeEntry;
    let agent: Agent;
    let endpoint: Endpoint;
    let others: FakeEntry[];

    const newEntry = async (id: string) => {
        const other = await FakeEntry.start(id, SECRET);
        others.push(other);
        return other;
    };
    const startEndpoint = () => {
        const agentUrl = `http://127.0.0.1:${agent.announcePort}`;
        return Endpoint.start(
            EndpointSettings.parse({ service: "s", http: ANY_PORT, agent: agentUrl, slots: SLOTS }),
            runtime,
        );
    };
    const startAgent = (more: object) => {
        const names = { id: "agent", region: "r", failureDomain: "f", rack: "k", secret: SECRET };
        const settings = { ...names, listen: ANY_PORT, announce: ANY_PORT, entries: [entry.address], ...more };
        return Agent.start(AgentSettings.parse(settings), runtime);
    };
    const restart = async (more: object) => {
        await endpoint.dispose();
        await agent.dispose();
        agent = await startAgent(more);
        endpoint = await startEndpoint();
        await hasCredits(SLOTS);
    };
    const announce = async (body: object) => {
        const init = { method: "POST", headers: { "content-type": "application/json" }, body: JSON.stringify(body) };
        return (await fetch(`http://127.0.0.1:${agent.announcePort}/v1/endpoint`, init)).status;
    };
    const isRunning = (count = 1) => FakeEntry.until(`${count} running`, () => endpoint.running === count);
    const hasCredits = (count: number) => FakeEntry.until(`${count} credits`, () => entry.credits === count);

    beforeEach(async () => {
        others = [];
        entry = await FakeEntry.start("home", SECRET);
        entry.rows = [entry.member];
        agent = await startAgent({});
        endpoint = await startEndpoint();
        await hasCredits(SLOTS);
    });

    afterEach(async () => {
        await endpoint.dispose();
        await agent.dispose();
        [entry, ...others].forEach(each => {
            each.dispose();
        });
    });

    describe("start", () => {
        it("guards against a lost output or credit", async () => {
            entry.start(1, { runMs: 1, value: { a: [1] } });
            const { outcome, credit } = await entry.next("outcome");
            assert.deepEqual([outcome.verdict, outcome.ok, credit], [Verdict.Ran, true, true]);
            assert.deepEqual(outcome.output, { value: { a: [1] }, runMs: 1 });
            assert.equal(entry.credits, SLOTS);
        });

        it("guards against a second run of the same attempt, running or ended", async () => {
            entry.start(1, { runMs: 300 });
            entry.start(1, { runMs: 300 });
            await entry.next("revoked");
            await entry.next("outcome");
            entry.start(1, { runMs: 300 });
            assert.equal((await entry.next("outcome")).outcome.ok, true);
            assert.equal(endpoint.starts.get(`${entry.incarnation}/1/0`), 1);
            await hasCredits(SLOTS);
        });

        it("guards against another attempt of a task that ran and may not be repeated", async () => {
            entry.start(1, { runMs: 1, fail: true });
            assert.equal((await entry.next("outcome")).outcome.error?.code, FaultCode.EndpointFailed);
            entry.start(1, { runMs: 1 }, { attempt: 2 });
            assert.equal((await entry.next("outcome")).outcome.error?.code, FaultCode.Duplicate);
            entry.start(1, { runMs: 1 }, { attempt: 3, repeatable: true });
            assert.equal(
                (await entry.next("outcome")).outcome.error?.code,
                FaultCode.Duplicate,
                "attempt 1 was not repeatable",
            );
        });

        it("guards against starts without a credit and from an entry that is not the issuer", async () => {
            entry.start(1, { runMs: LONG_MS });
            entry.start(2, { runMs: LONG_MS });
            entry.start(3, { runMs: 1 });
            assert.equal((await entry.next("outcome")).outcome.error?.code, FaultCode.NoSlot);
            entry.start(4, { runMs: 1 }, { issuer: "00".repeat(8) });
            const { outcome } = await entry.next("outcome");
            assert.deepEqual([outcome.verdict, outcome.error?.code], [Verdict.NotRun, FaultCode.IssuerFenced]);
            await isRunning(2);
        });
    });

    describe("revoke", () => {
        it("guards against a start that arrives after its revoke", async () => {
            entry.send({ kind: "revoke", issuer: entry.incarnation, sequence: 1, task: 0, attempt: 1 });
            assert.equal((await entry.next("outcome")).outcome.verdict, Verdict.NotRun);
            entry.start(1, { runMs: 1 });
            assert.equal((await entry.next("outcome")).outcome.error?.code, FaultCode.Revoked);
            assert.equal(endpoint.starts.size, 0);
        });

        it("guards against the verdict not run for a running attempt", async () => {
            entry.start(1, { runMs: 200 });
            entry.send({ kind: "revoke", issuer: entry.incarnation, sequence: 1, task: 0, attempt: 1 });
            await entry.next("revoked");
            assert.equal((await entry.next("outcome")).outcome.ok, true);
        });
    });

    describe("settle", () => {
        it("guards against starts after the fence and follows running tasks to their end", async () => {
            entry.start(1, { runMs: 500, value: 7 });
            await isRunning();
            const settling = await newEntry("settling");
            await settling.dial(agent.port);
            const key = { issuer: entry.incarnation, sequence: 1 };
            settling.send({ kind: "settle", ...key, agent: agent.incarnation });
            const records = await settling.next("records");
            assert.deepEqual([records.complete, records.tasks.length, records.tasks[0]?.attempt], [true, 1, 1]);
            assert.ok((records.tasks[0]?.outcome ?? undefined) === undefined);
            entry.start(1, { runMs: 1 }, { task: 1 });
            assert.equal((await entry.next("outcome")).outcome.error?.code, FaultCode.TicketFenced);
            const { outcome, credit } = await settling.next("outcome");
            assert.deepEqual([outcome.ok, credit], [true, false]);
            assert.equal(
                (await entry.next("outcome")).outcome.ok,
                true,
                "the outcome is reported to the issuer as well",
            );
        });

        it("guards against answering a settle for another agent incarnation with records", async () => {
            entry.send({ kind: "settle", issuer: entry.incarnation, sequence: 1, agent: "00".repeat(8) });
            const { complete, tasks } = await entry.next("records");
            assert.deepEqual([complete, tasks], [false, []]);
            entry.start(1, { runMs: 1 });
            assert.equal((await entry.next("outcome")).outcome.ok, true);
        });
    });

    describe("fence", () => {
        it("guards against starts of an issuer after one of its fences was dropped", async () => {
            await restart({ recordRetentionMs: 0 });
            entry.send({ kind: "settle", issuer: entry.incarnation, sequence: 1, agent: agent.incarnation });
            assert.equal((await entry.next("records")).complete, true);
            const isFenced = async (sequence: number) => {
                entry.start(sequence, { runMs: 1 });
                return (await entry.next("outcome")).outcome.error?.code === FaultCode.IssuerFenced;
            };
            for (let sequence = 2; !await isFenced(sequence); sequence++) {
                await new Promise(resolve => setTimeout(resolve, 100));
            }
            assert.equal((await entry.next("fenced")).issuer, entry.incarnation);
        });
    });

    describe("cancel and deadline", () => {
        it("guards against work that continues after its cancellation", async () => {
            entry.start(1, { runMs: LONG_MS });
            await isRunning();
            entry.send({ kind: "cancel", issuer: entry.incarnation, sequence: 1 });
            const { outcome } = await entry.next("outcome");
            assert.deepEqual([outcome.verdict, outcome.error?.code], [Verdict.MayHaveRun, FaultCode.Cancelled]);
            await isRunning(0);
        });

        it("guards against waiting for an unresponsive endpoint beyond the deadline", async () => {
            endpoint.silentShare = 1;
            entry.start(1, { runMs: 1 }, { budgetMs: 50 });
            const { outcome } = await entry.next("outcome");
            assert.deepEqual([outcome.verdict, outcome.error?.code], [Verdict.MayHaveRun, FaultCode.DeadlineExceeded]);
        });
    });

    describe("endpoint", () => {
        it("guards against a false verdict when it refuses connections or fails in mid-task", async () => {
            entry.start(1, { runMs: LONG_MS });
            await isRunning();
            await endpoint.dispose();
            assert.equal((await entry.next("outcome")).outcome.verdict, Verdict.MayHaveRun);
            entry.start(2, { runMs: 1 });
            const { outcome } = await entry.next("outcome");
            assert.deepEqual([outcome.verdict, outcome.error?.code], [Verdict.NotRun, FaultCode.EndpointUnreachable]);
            await entry.next("drain");
        });

        it("guards against starts at an endpoint that has withdrawn, and serves it again after an announcement", async () => {
            entry.start(1, { runMs: 400 });
            await isRunning();
            const left = endpoint.drain(LONG_MS);
            await entry.next("drain");
            entry.start(2, { runMs: 1 });
            assert.equal((await entry.next("outcome")).outcome.error?.code, FaultCode.Draining);
            assert.equal((await entry.next("outcome")).outcome.ok, true);
            assert.deepEqual(await left, []);
            await endpoint.dispose();
            endpoint = await startEndpoint();
            await hasCredits(SLOTS);
        });

        it("guards against waiting forever for a listener that never answers", async () => {
            const silent = createServer(socket => {
                socket.resume();
                socket.on("error", () => undefined);
            });
            await new Promise<void>(resolve => silent.listen(0, "127.0.0.1", resolve));
            const { port } = silent.address() as AddressInfo;
            await endpoint.dispose();
            assert.equal(
                await announce({ service: "s", url: `http://127.0.0.1:${port}/`, slots: 1, connections: 1 }),
                200,
            );
            await hasCredits(1);
            entry.start(1, { runMs: 1 }, { budgetMs: 50 });
            assert.equal((await entry.next("outcome")).outcome.verdict, Verdict.MayHaveRun);
            silent.close();
        });

        it("guards against an invalid announcement", async () => {
            const url = "http://127.0.0.1:1/";
            assert.equal(await announce({ service: "s", url, slots: 0, connections: 1 }), 400);
            assert.equal(await announce({ service: "s", url: "ftp://127.0.0.1/", slots: 1, connections: 1 }), 400);
            await agent.drain(0);
            assert.equal(await announce({ service: "s", url, slots: 1, connections: 1 }), 503);
        });
    });

    describe("drain", () => {
        it("guards against cutting off running tasks and losing their outcomes", async () => {
            entry.start(1, { runMs: 300 });
            await isRunning();
            const left = agent.drain(LONG_MS);
            await entry.next("drain");
            entry.start(2, { runMs: 1 });
            assert.equal((await entry.next("outcome")).outcome.error?.code, FaultCode.Draining);
            assert.equal((await entry.next("outcome")).outcome.ok, true);
            assert.deepEqual(await left, []);
        });

        it("guards against unreported tasks when the limit passes first", async () => {
            entry.start(1, { runMs: LONG_MS });
            await isRunning();
            const left = await agent.drain(50);
            assert.equal(left.length, 1);
            assert.match(left[0]!, /task 0 attempt 1 .* still running/);
        });
    });

    describe("home", () => {
        it("guards against losing running tasks when the home entry changes", async () => {
            entry.start(1, { runMs: 1500 });
            await isRunning();
            const next = await newEntry(nameRankedBefore("home"));
            next.rows = [entry.member, next.member];
            entry.send({ kind: "members", rows: next.rows });
            await next.next("attach");
            await FakeEntry.until("a credit at the new home entry", () => next.credits === SLOTS - 1);
            next.start(1, { runMs: 1 });
            assert.equal((await next.next("outcome")).outcome.ok, true);
            assert.equal((await entry.next("outcome")).outcome.ok, true, "the old home entry gets its outcome");
            await FakeEntry.until("all credits", () => next.credits === SLOTS);
            await FakeEntry.until("the old connection to close", () => entry.channel?.open === false);
        });

        it("guards against losing an outcome whose channel is closed, and against keeping its slot", async () => {
            entry.start(1, { runMs: 300 });
            await isRunning();
            entry.channel?.dispose();
            await isRunning(0);
            const { outcome, credit } = await entry.next("outcome");
            assert.deepEqual([outcome.ok, credit], [true, false]);
            await hasCredits(SLOTS);
        });

        it("guards against leaving the home entry for one that refuses, and against staying once that one accepts", async () => {
            const next = await newEntry(nameRankedBefore("home"));
            next.accepts = false;
            entry.send({ kind: "members", rows: [entry.member, next.member] });
            await next.next("attach");
            await entry.next("heartbeat");
            assert.equal(entry.credits, SLOTS, "the current home entry is kept");
            next.accepts = true;
            await FakeEntry.until("credits at the new home entry", () => next.credits === SLOTS);
        });
    });

    describe("finding entries", () => {
        it("guards against depending on a single seed or on member rows", async () => {
            const dead = await newEntry("dead");
            const { address } = dead;
            dead.dispose();
            entry.rows = undefined;
            await restart({ entries: [address, entry.address] });
        });

        it("guards against a half-open connection: three missed heartbeats close it", async () => {
            const next = await newEntry("next");
            entry.send({ kind: "members", rows: [entry.member, next.member] });
            const [first, second] = rendezvousRank("r/s/0", ["home", "next"]).map(id => id === "home" ? entry : next);
            await FakeEntry.until("the first by rank", () => first!.credits === SLOTS);
            first!.silent = true;
            await FakeEntry.until("the second by rank", () => second!.credits === SLOTS);
        });

        it("guards against staying at the home entry of another shard after a configuration change", async () => {
            const shards = 3;
            assert.equal(rendezvousRank("r/s/0", ["home", "a"])[0], "home");
            assert.equal(rendezvousRank(`r/s/${shardOf("agent", shards)}`, ["home", "a"])[0], "a");
            const next = await newEntry("a");
            entry.send({ kind: "members", rows: [entry.member, next.member] });
            const body = { services: { s: { shards } } };
            entry.send({ kind: "configuration", revision: 1, sections: [{ team: "t", revision: 1, body }] });
            await FakeEntry.until("credits at the new home entry", () => next.credits === SLOTS);
        });
    });

    describe("configuration", () => {
        it("guards against replacing a section by an older one", async () => {
            entry.send({ kind: "configuration", revision: 7, sections: [{ team: "t", revision: 7, body: { a: 1 } }] });
            entry.send({ kind: "configuration", revision: 5, sections: [{ team: "t", revision: 5, body: { a: 0 } }] });
            entry.send({ kind: "pull", since: 6 });
            const { revision, sections } = await entry.next("configuration");
            assert.equal(revision, 7);
            assert.deepEqual(sections, [{ team: "t", revision: 7, body: { a: 1 } }]);
            await entry.next("heartbeat", heartbeat => heartbeat.revision === 7);
        });
    });
});

/** Name of an entry that ranks before `other` for the shard of the tests. */
function nameRankedBefore(other: string): string {
    const names = Array.from({ length: 50 }, (_, index) => `entry-${index}`);
    return rendezvousRank("r/s/0", [...names, other])[0] ?? "";
}
