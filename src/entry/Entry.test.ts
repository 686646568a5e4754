import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import type { JobAnswer } from "../common/job/JobAnswer.js";
import { SilentLog } from "../common/log/SilentLog.js";
import { NoMetrics } from "../common/NoMetrics.js";
import { SeededRandom } from "../common/SeededRandom.js";
import { EntrySettings } from "../common/settings/EntrySettings.js";
import { SystemClock } from "../common/SystemClock.js";
import { TicketCodec } from "../common/ticket/TicketCodec.js";
import type { Message } from "../common/wire/Message.js";
import { Platform } from "../platform/Platform.js";
import { FakeAgent } from "../test/FakeAgent.js";
import { Entry } from "./Entry.js";

const SECRET = "a secret of the deployment";
const TOKEN = "token of the tour team";
const ADMIN_TOKEN = "token of the operator";
const SERVICE = "tour";
const LOST_ISSUER = "0123456789abcdef";

interface Reply {
    readonly status: number;
    readonly body: JobAnswer & {
        readonly tickets: string[];
        readonly verdict: string;
        readonly retryAfterMs?: number;
        readonly error: { readonly code: string; readonly message: string; readonly faults: { path: string; }[]; };
        readonly steps: { readonly event: number; }[];
    };
}

describe("Entry", { timeout: 60_000 }, () => {
    let platform: Platform;
    let entry: Entry;
    let agent: FakeAgent;

    async function call(method: string, path: string, body?: unknown, token = TOKEN): Promise<Reply> {
        const response = await fetch(`http://127.0.0.1:${entry.httpPort}${path}`, {
            method,
            headers: { authorization: `Bearer ${token}`, connection: "close" },
            body: typeof body === "string" ? body : JSON.stringify(body),
        });
        return { status: response.status, body: await response.json() as Reply["body"] };
    }

    async function newTicket(): Promise<string> {
        const reply = await call("POST", "/v1/tickets", { service: SERVICE, count: 1 });
        return reply.body.tickets[0]!;
    }

    function submit(ticket: string, payloads: readonly unknown[], more: object = {}): Promise<Reply> {
        const tasks = payloads.map(payload => ({ payload }));
        return call("POST", "/v1/jobs", { ticket, service: SERVICE, deadlineMs: 20_000, tasks, wait: true, ...more });
    }

    async function registerService(): Promise<void> {
        const reply = await fetch(`http://127.0.0.1:${entry.httpPort}/v1/config/sections/${SERVICE}`, {
            method: "PUT",
            headers: { "authorization": `Bearer ${ADMIN_TOKEN}`, "if-none-match": "*", "connection": "close" },
            body: JSON.stringify({ team: SERVICE, services: { [SERVICE]: {}, meals: {} } }),
        });
        assert.equal(reply.status, 200, await reply.text());
    }

    beforeEach(async () => {
        const log = new SilentLog();
        const runtime = { clock: new SystemClock(), log, metrics: new NoMetrics(), random: new SeededRandom(1) };
        platform = await Platform.start({ http: { host: "127.0.0.1", port: 0 }, writeDelayMs: 0 }, runtime);
        const settings = EntrySettings.parse({
            id: "entry-1",
            region: "r",
            failureDomain: "f",
            listen: { host: "127.0.0.1", port: 0 },
            http: { host: "127.0.0.1", port: 0 },
            secret: SECRET,
            tokens: [
                { token: TOKEN, role: "caller", team: SERVICE },
                { token: "token of another team", role: "caller", team: "meals" },
                { token: ADMIN_TOKEN, role: "admin", team: "admins" },
            ],
            scheduler: "fifo",
            maxBodyBytes: 4096,
            platform: { url: `http://127.0.0.1:${platform.port}` },
        });
        entry = await Entry.start(settings, runtime);
        await registerService();
        agent = await FakeAgent.start(SECRET);
        await agent.attach(entry.wirePort, SERVICE, 2);
    });

    afterEach(async () => {
        agent.dispose();
        await entry.dispose();
        await platform.dispose();
    });

    describe("one job", () => {
        it("guards against an answer with missing outputs or outputs out of order", async () => {
            agent.echo();
            const ticket = await newTicket();
            const reply = await submit(ticket, ["a", "b", "c"]);
            assert.equal(reply.status, 200);
            assert.equal(reply.body.state, "complete");
            assert.deepEqual(reply.body.tasks.map(task => task.output), ["a", "b", "c"]);
            const story = await call("GET", `/v1/jobs/${ticket}/story`);
            assert.ok(story.body.steps.some(step => step.event === 1020));
        });

        it("guards against outputs in the order in which the tasks ended", async () => {
            const reply = submit(await newTicket(), ["a", "b"]);
            const [first, second] = [await agent.next("start"), await agent.next("start")];
            agent.succeed(second, second.payload);
            agent.succeed(first, first.payload);
            assert.deepEqual((await reply).body.tasks.map(task => task.output), ["a", "b"]);
        });

        it("guards against a second start when the same ticket is submitted twice at once", async () => {
            const ticket = await newTicket();
            const replies = [submit(ticket, ["a"]), submit(ticket, ["a"])];
            const start = await agent.next("start");
            agent.succeed(start, "done");
            for (const reply of await Promise.all(replies)) {
                assert.deepEqual(reply.body.tasks.map(task => task.output), ["done"]);
            }
            assert.equal(agent.count("start"), 0);
        });

        it("guards against accepting a different body under the same ticket", async () => {
            agent.echo();
            const ticket = await newTicket();
            await submit(ticket, ["a"]);
            const reply = await submit(ticket, ["b"]);
            assert.equal(reply.status, 409);
            assert.equal(reply.body.verdict, "not_run");
        });

        it("guards against a cancellation that still starts queued tasks or does not abort running ones", async () => {
            const ticket = await newTicket();
            const reply = submit(ticket, ["a", "b", "c"]);
            const starts = [await agent.next("start"), await agent.next("start")];
            await call("DELETE", `/v1/jobs/${ticket}`);
            await agent.next("cancel");
            for (const start of starts) {
                const error = { code: "cancelled", message: "aborted" } as const;
                const { task, attempt } = start;
                agent.report(start, { task, attempt, verdict: "may_have_run", ok: false, error, runMs: 5 });
            }
            const { body } = await reply;
            assert.equal(body.reason?.code, "cancelled");
            assert.deepEqual(body.tasks.map(task => task.verdict), ["may_have_run", "may_have_run", "not_run"]);
            assert.equal(agent.count("start"), 0);
        });
    });

    describe("lost connection after a start", () => {
        type Answering = (revoke: Extract<Message, { kind: "revoke"; }>) => void;

        /** Closes the connection after a start, reattaches and answers the revoke; returns the caller's response. */
        async function reattach(answer: Answering): Promise<{ readonly reply: Promise<Reply>; }> {
            const reply = submit(await newTicket(), ["a"]);
            await agent.next("start");
            agent.cut();
            await agent.attach(entry.wirePort, SERVICE, 2);
            answer(await agent.next("revoke"));
            return { reply };
        }

        it("guards against giving up a task whose start the agent never received", async () => {
            const { reply } = await reattach(revoke => {
                const { task, attempt } = revoke;
                const error = { code: "revoked", message: "no record" } as const;
                agent.report(revoke, { task, attempt, verdict: "not_run", ok: false, error, runMs: 0 });
            });
            const again = await agent.next("start");
            assert.equal(again.attempt, 2);
            agent.succeed(again, "done");
            assert.equal((await reply).body.state, "complete");
        });

        it("guards against a second start of a task that is still running", async () => {
            const { reply } = await reattach(revoke => {
                agent.send({ ...revoke, kind: "revoked" });
                agent.report(revoke, FakeAgent.success(revoke, "late"));
            });
            assert.deepEqual((await reply).body.tasks.map(task => task.output), ["late"]);
            assert.equal(agent.count("start"), 0);
        });

        it("guards against losing the result of a task that ended meanwhile", async () => {
            const { reply } = await reattach(revoke => {
                agent.report(revoke, FakeAgent.success(revoke, "done"));
            });
            assert.deepEqual((await reply).body.tasks.map(task => task.output), ["done"]);
        });

        it("guards against waiting for the deadline when the agent was restarted", async () => {
            const reply = submit(await newTicket(), ["a"]);
            await agent.next("start");
            agent.dispose();
            agent = await FakeAgent.start(SECRET, agent.port);
            const { body } = await reply;
            assert.equal(body.verdict, "may_have_run");
            assert.equal(body.reason?.code, "agent_lost");
        });
    });

    describe("settlement of a lost issuer", () => {
        const codec = new TicketCodec(SECRET);

        function lostTicket(...agents: readonly FakeAgent[]): string {
            const set = agents.map(({ identity }) => ({
                address: identity.address,
                incarnation: identity.incarnation,
            }));
            const fields = { issuer: LOST_ISSUER, address: "127.0.0.1:2", sequence: 7 };
            return codec.encode({ ...fields, service: SERVICE, team: SERVICE, agents: set });
        }

        function holdRecords(holder: FakeAgent, tasks: readonly number[]): void {
            holder.onMessage = (message, channel) => {
                if (message.kind === "settle") {
                    const { issuer, sequence } = message;
                    const records = tasks.map(task => {
                        return { task, attempt: 1, outcome: FakeAgent.success({ task, attempt: 1 }, `r${task}`) };
                    });
                    channel.send({ kind: "records", issuer, sequence, complete: true, tasks: records });
                }
            };
        }

        it("guards against losing an answer whose outcomes the agents all have on record", async () => {
            holdRecords(agent, [0, 1]);
            const { body } = await submit(lostTicket(agent), ["a", "b"]);
            assert.equal(body.state, "complete");
            assert.deepEqual(body.tasks.map(task => task.output), ["r0", "r1"]);
        });

        it("guards against answering before a running task on record has ended", async () => {
            agent.onMessage = (message, channel) => {
                if (message.kind === "settle") {
                    const { issuer, sequence } = message;
                    const tasks = [{ task: 0, attempt: 1 }];
                    channel.send({ kind: "records", issuer, sequence, complete: true, tasks });
                    const outcome = FakeAgent.success({ task: 0, attempt: 1 }, "late");
                    channel.send({ kind: "outcome", issuer, sequence, outcome, credit: false });
                }
            };
            const { body } = await submit(lostTicket(agent), ["a"]);
            assert.deepEqual(body.tasks.map(task => task.output), ["late"]);
        });

        it("guards against a failed answer with some of the outputs", async () => {
            holdRecords(agent, [0]);
            const { body } = await submit(lostTicket(agent), ["a", "b"]);
            assert.equal(body.state, "failed");
            assert.deepEqual(body.tasks.map(task => task.verdict), ["ran", "not_run"]);
            assert.ok(body.tasks.every(task => task.output === undefined));
        });

        it("guards against reporting a task as not run when an agent does not answer", async () => {
            const gone = await FakeAgent.start(SECRET);
            gone.dispose();
            holdRecords(agent, [0]);
            const { body } = await submit(lostTicket(agent, gone), ["a", "b"]);
            assert.deepEqual(body.tasks.map(task => task.verdict), ["ran", "may_have_run"]);
        });

        it("guards against trusting the records of a restarted agent", async () => {
            const restarted = await FakeAgent.start(SECRET);
            const ticket = lostTicket(restarted);
            restarted.dispose();
            const successor = await FakeAgent.start(SECRET, restarted.port);
            const { body } = await submit(ticket, ["a"]);
            successor.dispose();
            assert.deepEqual(body.tasks.map(task => task.verdict), ["may_have_run"]);
        });
    });

    describe("fenced issuer", () => {
        it("guards against keeping a fenced incarnation and leaving its open jobs without an answer", async () => {
            const before = entry.identity.incarnation;
            const reply = submit(await newTicket(), ["a", "b", "c"]);
            const start = await agent.next("start");
            await agent.next("start");
            agent.onMessage = (message, channel) => {
                if (message.kind === "settle") {
                    const { issuer, sequence } = message;
                    const outcome = FakeAgent.success(start, "done");
                    const tasks = [{ task: start.task, attempt: 1, outcome }];
                    channel.send({ kind: "records", issuer, sequence, complete: true, tasks });
                }
            };
            agent.send({ kind: "fenced", issuer: before });
            const { body } = await reply;
            assert.deepEqual(body.tasks.map(task => task.verdict), ["ran", "not_run", "not_run"]);
            assert.notEqual(entry.identity.incarnation, before);
        });
    });

    describe("refusals", () => {
        it("guards against an error for a missing ticket that does not explain how to get one", async () => {
            const body = { service: SERVICE, deadlineMs: 100, tasks: [{ payload: 1 }] };
            const reply = await call("POST", "/v1/jobs", body);
            assert.equal(reply.status, 428);
            assert.match(reply.body.error.message, /POST \/v1\/tickets/);
        });

        it("guards against reporting only the first fault of a body", async () => {
            const reply = await call("POST", "/v1/jobs", { service: 1, deadlineMs: 0, tasks: [{ sizeMs: -1 }] });
            assert.equal(reply.status, 400);
            const paths = reply.body.error.faults.map(fault => fault.path);
            assert.ok(["service", "deadlineMs", "tasks[0].sizeMs"].every(path => paths.includes(path)), String(paths));
            assert.equal((await call("POST", "/v1/jobs", "{")).status, 400);
        });

        it("guards against reading a body of any size", async () => {
            const reply = await submit("x", ["a".repeat(5000)]);
            assert.equal(reply.status, 413);
            assert.equal(reply.body.verdict, "not_run");
        });

        it("guards against accepting unknown tokens, tickets of another team and forged tickets", async () => {
            assert.equal((await call("GET", "/v1/members", undefined, "no such token")).status, 401);
            const ticket = await newTicket();
            assert.equal((await call("GET", `/v1/jobs/${ticket}`, undefined, "token of another team")).status, 403);
            assert.equal((await submit("made-up", ["a"])).status, 400);
        });

        it("guards against issuing tickets for unknown services and for services without agents", async () => {
            const unknown = await call("POST", "/v1/tickets", { service: "none" });
            assert.equal(unknown.status, 404);
            const idle = await call("POST", "/v1/tickets", { service: "meals" });
            assert.equal(idle.status, 503);
            assert.ok(idle.body.retryAfterMs !== undefined);
        });
    });

    describe("drain", () => {
        it("guards against accepting new work while draining, and against aborting open jobs", async () => {
            const unused = await newTicket();
            const open = submit(await newTicket(), ["a"]);
            const start = await agent.next("start");
            const drained = await call("POST", "/v1/drain", undefined, "token of the operator");
            assert.equal(drained.status, 202);
            assert.equal((await call("POST", "/v1/tickets", { service: SERVICE })).status, 503);
            const refused = await submit(unused, ["b"]);
            assert.equal(refused.body.verdict, "not_run");
            assert.equal(refused.body.error.code, "draining");
            const left = entry.drain(10_000);
            agent.succeed(start, "done");
            assert.equal((await open).body.state, "complete");
            assert.deepEqual(await left, []);
        });

        it("guards against not reporting jobs that a drain did not finish", async () => {
            const lost = submit(await newTicket(), ["a"]).catch(() => undefined);
            await agent.next("start");
            assert.equal((await entry.drain(50)).length, 1);
            await entry.dispose();
            await lost;
        });
    });
});
