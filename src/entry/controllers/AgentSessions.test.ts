import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import { Emitter } from "../../common/Emitter.js";
import { Fault } from "../../common/Fault.js";
import { SilentLog } from "../../common/log/SilentLog.js";
import { VirtualClock } from "../../common/VirtualClock.js";
import type { Channel } from "../../common/wire/Channel.js";
import type { Identity } from "../../common/wire/Identity.js";
import type { Message } from "../../common/wire/Message.js";
import { AgentSessions } from "./AgentSessions.js";

/** Channel without a socket. */
class FakeChannel implements Channel {
    public readonly sent: Message[] = [];
    public open = true;
    public readonly messages = new Emitter<Message>();
    private readonly closes = new Emitter<string>();
    public readonly onMessage = this.messages.event;
    public readonly onClose = this.closes.event;

    constructor(public readonly peer: Identity) {}

    public send(message: Message): boolean {
        if (this.open) {
            this.sent.push(message);
        }
        return this.open;
    }

    public close(reason: string): void {
        if (this.open) {
            this.open = false;
            this.closes.fire(reason);
        }
    }

    public dispose(): void {
        this.close("disposed");
    }
}

function identityOf(incarnation: string): Identity {
    return { role: "agent", id: "w", incarnation, region: "r", failureDomain: "f", address: "127.0.0.1:9" };
}

describe("AgentSessions", () => {
    let clock: VirtualClock;
    let agents: AgentSessions;
    let kinds: string[];
    let queued: number;
    let dial: () => Promise<Channel>;

    beforeEach(() => {
        clock = new VirtualClock();
        kinds = [];
        queued = 3;
        dial = () => Promise.reject(new Fault("protocol", "connect timed out"));
        agents = new AgentSessions({
            clock,
            log: new SilentLog(),
            region: "r",
            members: { live: () => [], home: () => undefined, onChange: new Emitter<void>().event },
            dial: () => dial(),
            queued: () => queued,
            revision: () => 1,
        });
        agents.onEvent(event => kinds.push(event.kind));
    });

    function attach(incarnation = "i1"): FakeChannel {
        const channel = new FakeChannel(identityOf(incarnation));
        agents.accept(channel);
        channel.messages.fire({ kind: "attach", service: "s", rack: "k", slots: 2, connections: 8 });
        return channel;
    }

    async function advance(ms: number): Promise<void> {
        clock.advance(ms);
        await new Promise(resolve => setImmediate(resolve));
    }

    it("guards against an agent that stays attached through a half-open connection", () => {
        const channel = attach();
        clock.advance(3000);
        assert.ok(channel.sent.some(message => message.kind === "heartbeat" && message.load === 3));
        clock.advance(1000);
        assert.equal(channel.open, false);
        assert.deepEqual(kinds, ["attached", "detached"]);
    });

    it("guards against closing a connection on which heartbeats arrive", () => {
        const channel = attach();
        for (let second = 0; second < 10; second++) {
            clock.advance(1000);
            channel.messages.fire({ kind: "heartbeat", load: 0, revision: 0 });
        }
        assert.equal(channel.open, true);
    });

    it("guards against heartbeats in addition to starts, missing heartbeats, and a load that is not reported", () => {
        const channel = attach();
        const heartbeats = () => channel.sent.filter(({ kind }) => kind === "heartbeat" || kind === "alive");
        const start = {
            kind: "start",
            issuer: "e",
            sequence: 1,
            task: 0,
            attempt: 1,
            payload: 0,
            digest: "d",
        } as const;
        for (let step = 0; step < 20; step++) {
            agents.send("i1", { ...start, budgetMs: 1, repeatable: false, queued: 7 });
            channel.messages.fire({ kind: "credit", count: 1 });
            clock.advance(500);
        }
        assert.deepEqual(heartbeats(), []);
        clock.advance(1250);
        assert.deepEqual(heartbeats(), [{ kind: "heartbeat", load: 3, revision: 1 }]);
        clock.advance(1000);
        assert.equal(heartbeats().length, 2);
        queued = 0;
        channel.messages.fire({ kind: "alive" });
        clock.advance(2000);
        assert.deepEqual(heartbeats().slice(2), [{ kind: "heartbeat", load: 0, revision: 1 }, { kind: "alive" }]);
    });

    it("guards against reporting an agent as lost that is only unreachable", async () => {
        attach().close("cut");
        await advance(0);
        await advance(1000);
        assert.deepEqual(kinds, ["attached", "detached"]);
        assert.ok(agents.mayRun("i1"));
    });

    it("guards against waiting for an agent whose address refuses connections", async () => {
        dial = () => Promise.reject(new Fault("protocol", "connect ECONNREFUSED 127.0.0.1:9"));
        attach().close("cut");
        await advance(0);
        assert.deepEqual(kinds, ["attached", "detached", "lost"]);
        assert.ok(!agents.mayRun("i1"));
    });

    it("guards against waiting for an agent whose address has another incarnation", async () => {
        dial = () => Promise.resolve(new FakeChannel(identityOf("i2")));
        attach().close("cut");
        await advance(0);
        assert.equal(kinds.at(-1), "lost");
    });

    it("guards against two channels of one agent incarnation", () => {
        const first = attach();
        const second = attach();
        assert.equal(first.open, false);
        assert.deepEqual(kinds, ["attached", "detached", "attached"]);
        first.messages.fire({ kind: "credit", count: 5 });
        second.messages.fire({ kind: "credit", count: 1 });
        assert.equal(kinds.filter(kind => kind === "credit").length, 1);
    });

    it("guards against open connections of agents that never attach, and against closing those of attached agents", () => {
        const idle = new FakeChannel(identityOf("i2"));
        agents.accept(idle);
        const attached = attach();
        for (let second = 0; second < 12; second++) {
            clock.advance(1000);
            attached.messages.fire({ kind: "heartbeat", load: 0, revision: 0 });
        }
        assert.deepEqual([idle.open, attached.open], [false, true]);
    });

    it("guards against attaching an agent of another region", () => {
        const foreign = new FakeChannel({ ...identityOf("i2"), region: "elsewhere" });
        agents.accept(foreign);
        foreign.messages.fire({ kind: "attach", service: "s", rack: "k", slots: 2, connections: 8 });
        foreign.messages.fire({ kind: "credit", count: 2 });
        assert.ok(foreign.sent.some(message => message.kind === "attached" && !message.accepted));
        assert.deepEqual(kinds, []);
        assert.deepEqual(agents.attached("s"), []);
    });

    it("guards against probing each detached agent every second", async () => {
        let probes = 0;
        dial = () => {
            probes += 1;
            return Promise.reject(new Fault("protocol", "connect timed out"));
        };
        attach().close("retired");
        for (let second = 0; second <= 60; second++) {
            await advance(1000);
        }
        assert.ok(probes >= 6 && probes <= 12, `${probes} probes in a minute`);
    });

    it("guards against attaching new agents to a draining entry, and against refusing a known agent that reattaches", () => {
        attach().close("cut");
        agents.drain();
        attach("i1");
        assert.equal(kinds.at(-1), "attached");
        const refused = attach("i2");
        assert.ok(refused.sent.some(message => message.kind === "attached" && !message.accepted));
    });
});
