import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import { Emitter } from "../../common/Emitter.js";
import { Fault } from "../../common/Fault.js";
import type { JobRequest } from "../../common/job/JobRequest.js";
import { SilentLog } from "../../common/log/SilentLog.js";
import { SeededRandom } from "../../common/SeededRandom.js";
import { TicketCodec } from "../../common/ticket/TicketCodec.js";
import { VirtualClock } from "../../common/VirtualClock.js";
import type { Member } from "../../common/wire/Member.js";
import type { Message } from "../../common/wire/Message.js";
import { EntryIdentity } from "../EntryIdentity.js";
import type { PeerCalls } from "../PeerCalls.js";
import { FifoScheduler } from "../policy/FifoScheduler.js";
import type { AgentChannelEvent } from "./AgentChannelEvent.js";
import { IssuerLiveness } from "./IssuerLiveness.js";
import { IssuerRelay } from "./IssuerRelay.js";
import { JobHistories } from "./JobHistories.js";
import { Jobs } from "./Jobs.js";
import { Settlement } from "./Settlement.js";
import { TicketIssuer } from "./TicketIssuer.js";

const AGENT = "a".repeat(16);
const AGENT_ADDRESS = "127.0.0.1:9";
const LIMITS = {
    shards: 1,
    maxTasksPerJob: 10,
    maxPayloadBytes: 100,
    maxDeadlineMs: 5000,
    maxTaskMs: 1000,
    maxQueuedTasks: 20,
    reservedShare: 0,
};
const TEAM = { team: "t", weight: 1, quota: { maxTasks: 100 }, services: { s: LIMITS } };

/** Calls between entries without sockets; an address in `down` is unreachable. */
class Network {
    public readonly down = new Set<string>();
    /** Methods whose calls are refused with `overloaded`. */
    public readonly overloaded = new Set<string>();
    public calls = 0;
    private readonly handlers = new Map<string, Parameters<PeerCalls["serve"]>[1]>();

    public peersOf(identity: EntryIdentity): PeerCalls {
        return {
            serve: (method, handler) => {
                this.handlers.set(`${identity.current.address} ${method}`, handler);
                return { dispose: () => undefined };
            },
            call: (address, _incarnation, method, body) => {
                this.calls += 1;
                const handler = this.handlers.get(`${address} ${method}`);
                if (this.overloaded.has(method)) {
                    return Promise.reject(new Fault("overloaded", "too many calls", "not_run", 100));
                }
                return this.down.has(address) || handler === undefined
                    ? Promise.reject(new Fault("issuer_lost", "unreachable", "may_have_run"))
                    : handler(body, identity.current);
            },
        };
    }
}

function createEntry(index: number, clock: VirtualClock, network: Network, home: () => EntryIdentity) {
    const address = `127.0.0.1:${index}`;
    const identity = new EntryIdentity({ id: `e${index}`, region: "r", failureDomain: "f", address });
    const log = new SilentLog();
    const peers = network.peersOf(identity);
    const codec = new TicketCodec("a secret of the deployment");
    const histories = new JobHistories(identity.current.id, log);
    const events = new Emitter<AgentChannelEvent>();
    const sent: Message[] = [];
    const configuration = {
        revision: 1,
        onChange: new Emitter<number>().event,
        service: () => LIMITS,
        team: () => TEAM,
        services: () => ["s"],
        teams: () => [TEAM],
    };
    const agents = {
        onEvent: events.event,
        mayRun: () => true,
        send: (_agent: string, message: Message) => {
            sent.push(message);
            return true;
        },
    };
    const dial = () => Promise.reject(new Fault("protocol", "connect ECONNREFUSED"));
    const settlement = new Settlement({ clock, dial, histories });
    const member = () => ({ ...home().current, counter: 1, draining: false, revision: 1 });
    const members = { live: () => [member()], home: member, onChange: new Emitter<void>().event };
    const attached = () => home() === identity ? [{ address: AGENT_ADDRESS, incarnation: AGENT }] : [];
    const random = new SeededRandom(1);
    const tickets = new TicketIssuer({ clock, log, random, identity, members, peers, configuration, codec, attached });
    const collectRecords: Settlement["collectRecords"] = ticket => settlement.collectRecords(ticket);
    const createScheduler = () => new FifoScheduler();
    const jobs = new Jobs({
        clock,
        identity,
        configuration,
        agents,
        tickets,
        histories,
        collectRecords,
        createScheduler,
    });
    const rows = { current: [] as readonly Member[], changed: new Emitter<void>() };
    const issuers = new IssuerLiveness({ rows: () => rows.current, onChange: rows.changed.event });
    const relay = new IssuerRelay({ clock, identity, peers, codec, jobs, settlement, histories, issuers });
    return { identity, tickets, relay, jobs, events, sent, rows };
}

describe("IssuerRelay", () => {
    let clock: VirtualClock;
    let network: Network;
    let home: ReturnType<typeof createEntry>;
    let other: ReturnType<typeof createEntry>;
    let ticket: string;

    beforeEach(async () => {
        clock = new VirtualClock();
        network = new Network();
        home = createEntry(1, clock, network, () => home.identity);
        other = createEntry(2, clock, network, () => home.identity);
        const profile = { id: AGENT, worker: "w", rack: "k", failureDomain: "f", slots: 2 };
        home.events.fire({ kind: "attached", service: "s", agent: AGENT, profile });
        home.events.fire({ kind: "credit", service: "s", agent: AGENT, count: 2 });
        [ticket = ""] = await other.tickets.issue("s", "t", 1);
    });

    function request(): JobRequest {
        const tasks = [{ payload: 1, repeatable: false }];
        return { ticket, service: "s", team: "t", deadlineMs: 4000, onFailure: "stop", tasks };
    }

    function succeed(): void {
        const start = home.sent.find(message => message.kind === "start")!;
        const { issuer, sequence } = start;
        const outcome = { task: 0, attempt: 1, verdict: "ran", ok: true, output: "done", runMs: 1 } as const;
        const report = { kind: "outcome", issuer, sequence, outcome, credit: true } as const;
        home.events.fire({ kind: "outcome", service: "s", agent: AGENT, report });
    }

    /** Advances the clock in small steps, with pending promises settled before each. */
    async function advance(ms: number): Promise<void> {
        for (let passed = 0; passed < ms; passed += 100) {
            await new Promise(resolve => setImmediate(resolve));
            clock.advance(100);
        }
        await new Promise(resolve => setImmediate(resolve));
    }

    it("guards against starting tasks anywhere but at the issuer", async () => {
        const callsBefore = network.calls;
        const answer = other.relay.submit(request(), Infinity);
        await advance(100);
        assert.equal(other.sent.length, 0);
        succeed();
        assert.equal((await answer).state, "complete");
        assert.equal(network.calls - callsBefore, 1);
    });

    it("guards against a relayed wait that ends before the job does", async () => {
        const answer = other.relay.submit(request(), Infinity);
        await advance(3000);
        succeed();
        assert.equal((await answer).state, "complete");
    });

    describe("an issuer that is a live member", () => {
        beforeEach(() => {
            other.rows.current = [{ ...home.identity.current, counter: 1, draining: false, revision: 1 }];
        });

        it("guards against repeated calls to it while a job runs", async () => {
            const callsBefore = network.calls;
            const answer = other.relay.submit(request(), Infinity);
            await advance(3900);
            succeed();
            assert.equal((await answer).state, "complete");
            assert.equal(network.calls - callsBefore, 1);
        });

        it("guards against waiting for an issuer that is no longer a member", async () => {
            const answer = other.relay.submit(request(), Infinity);
            await advance(500);
            other.rows.current = [];
            other.rows.changed.fire();
            await advance(1000);
            assert.deepEqual((await answer).tasks.map(task => task.verdict), ["may_have_run"]);
        });
    });

    it("guards against a second job when a submission arrives through another entry", async () => {
        const first = other.relay.submit(request(), Infinity);
        const second = home.relay.submit(request(), Infinity);
        await advance(100);
        succeed();
        assert.equal((await first).state, "complete");
        assert.equal((await second).state, "complete");
        assert.equal(home.sent.filter(message => message.kind === "start").length, 1);
    });

    it("guards against hanging when the issuer is lost in the middle of a job", async () => {
        const answer = other.relay.submit(request(), Infinity);
        await advance(500);
        network.down.add(home.identity.current.address);
        await advance(4000);
        assert.deepEqual((await answer).tasks.map(task => task.verdict), ["may_have_run"]);
    });

    it("guards against a wait beyond the deadline and its grace period", async () => {
        const answer = other.relay.submit(request(), Infinity);
        await advance(4000 + Jobs.graceMs + 500);
        assert.equal((await answer).reason?.code, "deadline_exceeded");
    });

    it("guards against treating a refusal by the issuer as its loss", async () => {
        await other.relay.submit(request(), 0);
        const conflicting = { ...request(), tasks: [{ payload: 2, repeatable: false }] };
        await assert.rejects(other.relay.submit(conflicting, 0), { code: "ticket_conflict", verdict: "not_run" });
        await assert.rejects(other.relay.status(ticket, "another team", 0), { code: "forbidden" });
    });

    it("guards against not_run for a running job whose issuer is overloaded", async () => {
        await other.relay.submit(request(), 0);
        network.overloaded.add("job.wait").add("job.cancel");
        const notHandled = { code: "overloaded", verdict: "may_have_run", retryAfterMs: 100 };
        await assert.rejects(other.relay.status(ticket, "t", 0), notHandled);
        await assert.rejects(other.relay.cancel(ticket, "t"), notHandled);
    });

    it("guards against jobs of a fenced incarnation that get no answer", async () => {
        const answer = home.relay.submit(request(), Infinity);
        await advance(100);
        home.identity.renew();
        await home.jobs.settleOpen();
        assert.equal((await answer).verdict, "may_have_run");
        assert.equal((await home.relay.status(ticket, "t", 0)).state, "failed");
    });
});
