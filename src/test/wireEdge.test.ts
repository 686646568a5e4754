import * as fc from "fast-check";
import assert from "node:assert/strict";
import { connect, type Socket } from "node:net";
import { after, before, describe, it } from "node:test";
import { Agent } from "../agent/Agent.js";
import { SilentLog } from "../common/log/SilentLog.js";
import { NoMetrics } from "../common/NoMetrics.js";
import { SeededRandom } from "../common/SeededRandom.js";
import { AgentSettings } from "../common/settings/AgentSettings.js";
import { EntrySettings } from "../common/settings/EntrySettings.js";
import { SystemClock } from "../common/SystemClock.js";
import { dial } from "../common/wire/dial.js";
import { FrameCodec } from "../common/wire/FrameCodec.js";
import type { Identity } from "../common/wire/Identity.js";
import type { Message } from "../common/wire/Message.js";
import { Entry } from "../entry/Entry.js";

const SECRET = "a secret of the deployment";
const HOST = "127.0.0.1";
const ANY_PORT = { host: HOST, port: 0 };
const SEED = 20_261_204;
const LOG = new SilentLog();
const PEER: Identity = {
    role: "agent",
    id: "peer",
    incarnation: "00".repeat(8),
    region: "r",
    failureDomain: "f",
    address: `${HOST}:1`,
};

const count = fc.nat({ max: 2 ** 31 });
const name = fc.oneof(fc.constantFrom("i", "__proto__", "", "0123456789abcdef"), fc.string({ maxLength: 20 }));
const key = { issuer: name, sequence: count, task: count, attempt: count };
const outcome = fc.record({
    task: count,
    attempt: count,
    verdict: fc.constantFrom("not_run", "may_have_run", "ran"),
    ok: fc.boolean(),
    output: fc.jsonValue(),
    runMs: fc.double({ noNaN: true, noDefaultInfinity: true }),
});
const member = fc.record({
    id: name,
    address: name,
    incarnation: name,
    region: name,
    failureDomain: name,
    counter: count,
    draining: fc.boolean(),
    revision: count,
});
const section = fc.record({ team: name, revision: count, body: fc.jsonValue() });
const task = fc.record({ task: count, attempt: count, outcome: fc.option(outcome, { nil: undefined }) });

/** Messages of every kind, with fields of the right type and unusual values. */
const message = fc.oneof(
    fc.record({ kind: fc.constant("attach"), service: name, rack: name, slots: count, connections: count }),
    fc.record({ kind: fc.constant("attached"), accepted: fc.boolean() }),
    fc.record({ kind: fc.constantFrom("credit", "reclaim", "release"), count }),
    fc.record({
        kind: fc.constant("start"),
        ...key,
        payload: fc.jsonValue(),
        budgetMs: fc.double({ noNaN: true, noDefaultInfinity: true }),
        repeatable: fc.boolean(),
        queued: count,
        digest: name,
    }),
    fc.record({ kind: fc.constant("outcome"), issuer: name, sequence: count, outcome, credit: fc.boolean() }),
    fc.record({ kind: fc.constantFrom("cancel", "revoke", "revoked"), ...key }),
    fc.record({ kind: fc.constant("settle"), issuer: name, sequence: count, agent: name }),
    fc.record({
        kind: fc.constant("records"),
        issuer: name,
        sequence: count,
        complete: fc.boolean(),
        tasks: fc.array(task, { maxLength: 3 }),
    }),
    fc.record({ kind: fc.constant("fenced"), issuer: name }),
    fc.record({ kind: fc.constant("heartbeat"), load: count, revision: count }),
    fc.record({ kind: fc.constant("drain"), reason: name }),
    fc.record({ kind: fc.constant("members"), rows: fc.array(member, { maxLength: 3 }) }),
    fc.record({ kind: fc.constant("pull"), since: count }),
    fc.record({
        kind: fc.constant("configuration"),
        revision: count,
        sections: fc.array(section, { maxLength: 3 }),
    }),
    fc.record({
        kind: fc.constant("call"),
        id: count,
        method: fc.oneof(fc.constantFrom("job.submit", "job.wait", "constructor", "__proto__"), name),
        body: fc.jsonValue(),
    }),
    fc.record({ kind: fc.constant("reply"), id: count, body: fc.jsonValue() }),
    fc.record({ kind: fc.constant("goodbye"), reason: name }),
);

describe("wire interface of entry and agent", { timeout: 120_000 }, () => {
    let entry: Entry;
    let agent: Agent;
    let ports: readonly (readonly [port: number, role: "entry" | "agent"])[];

    before(async () => {
        const runtime = { clock: new SystemClock(), log: LOG, metrics: new NoMetrics(), random: new SeededRandom(1) };
        const common = { region: "r", failureDomain: "f", listen: ANY_PORT, secret: SECRET };
        entry = await Entry.start(
            EntrySettings.parse({ ...common, id: "entry-1", http: ANY_PORT, tokens: [] }),
            runtime,
        );
        const settings = {
            ...common,
            id: "agent-1",
            rack: "k",
            announce: ANY_PORT,
            entries: [`${HOST}:${entry.wirePort}`],
        };
        agent = await Agent.start(AgentSettings.parse(settings), runtime);
        ports = [[entry.wirePort, "entry"], [agent.port, "agent"]];
    });

    after(async () => {
        await agent.dispose();
        await entry.dispose();
    });

    function openSocket(port: number): { socket: Socket; closed: Promise<unknown>; } {
        const socket = connect(port, HOST);
        socket.on("error", () => undefined);
        socket.resume();
        return { socket, closed: new Promise(resolve => socket.once("close", resolve)) };
    }

    /** Asserts that a process completes a handshake and replies: an entry to a call, an agent to a `pull`. */
    async function assertServes(port: number, role: "entry" | "agent"): Promise<void> {
        const channel = await dial(`${HOST}:${port}`, { ...PEER, role: "entry", id: "good" }, SECRET, LOG);
        const answer = new Promise<Message>(resolve => {
            channel.onMessage(received => {
                if (received.kind === "reply" || received.kind === "configuration") {
                    resolve(received);
                }
            });
        });
        channel.send(role === "entry" ? { kind: "call", id: 1, method: "x", body: 0 } : { kind: "pull", since: 0 });
        assert.equal((await answer).kind, role === "entry" ? "reply" : "configuration");
        channel.dispose();
    }

    it("guards against random bytes that cause a crash, a hang or a socket that stays open", async () => {
        for (const [port, role] of ports) {
            const bytes = fc.oneof(
                fc.uint8Array({ minLength: 1, maxLength: 300 }).map(body => Buffer.from(body)),
                fc.jsonValue().map(value => FrameCodec.encode(value)),
            );
            const property = fc.asyncProperty(bytes, async input => {
                const { socket, closed } = openSocket(port);
                socket.end(input);
                await closed;
            });
            await fc.assert(property, { seed: SEED, numRuns: 150 });
            await assertServes(port, role);
        }
    });

    it("guards against a crash caused by messages of an authenticated peer in any order and with unusual values", async () => {
        for (const [port, role] of ports) {
            const messages = fc.array(message, { minLength: 1, maxLength: 8 });
            const property = fc.asyncProperty(messages, fc.constantFrom("entry", "agent"), async (list, peerRole) => {
                const channel = await dial(`${HOST}:${port}`, { ...PEER, role: peerRole }, SECRET, LOG);
                list.forEach(item => channel.send(item));
                channel.close("done");
            });
            await fc.assert(property, { seed: SEED, numRuns: 200 });
            await assertServes(port, role);
        }
    });

    it("guards against idle connections that occupy every handshake slot for good", async () => {
        for (const [port, role] of ports) {
            const silent = Array.from({ length: 200 }, () => openSocket(port));
            await Promise.all(silent.map(({ closed }) => closed));
            await assertServes(port, role);
        }
    });

    it("guards against a socket that stays open because the peer never closes its side", async () => {
        for (const [port] of ports) {
            const channel = await dial(`${HOST}:${port}`, { ...PEER, role: "entry" }, SECRET, LOG);
            const socket = (channel as unknown as { readonly socket: Socket; }).socket;
            socket.allowHalfOpen = true;
            channel.send({ kind: "goodbye", reason: "x" });
            const writes = setInterval(() => socket.write("x"), 50);
            await new Promise(resolve => socket.once("close", resolve));
            clearInterval(writes);
        }
    });
});
