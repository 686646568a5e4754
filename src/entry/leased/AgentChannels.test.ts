import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Clock } from "../../common/Clock.js";
import { Emitter } from "../../common/Emitter.js";
import { LEASE_TIMES } from "../../common/leased/LEASE_TIMES.js";
import { RoutingTable } from "../../common/leased/RoutingTable.js";
import { SilentLog } from "../../common/log/SilentLog.js";
import type { Channel } from "../../common/wire/Channel.js";
import type { Message } from "../../common/wire/Message.js";
import { Role } from "../../common/wire/Role.js";
import { StallingClock } from "../../test/StallingClock.js";
import { AgentChannels } from "./AgentChannels.js";

const LOAD: Message = {
    kind: "load",
    condition: {
        service: "s",
        endpoint: "e",
        labels: [],
        capacity: { cpu: 1, memoryMb: 1, gpu: 0 },
        used: { cpu: 0, memoryMb: 0, gpu: 0 },
        accepting: true,
        slowness: 1,
        clockMs: 1,
    },
    orders: 0,
    tenured: true,
};

/** Creates the channels of an entry with one attached agent that has reported once. */
function attachAgent(clock: Clock): { readonly channels: AgentChannels; readonly messages: Emitter<Message>; } {
    const messages = new Emitter<Message>();
    const channel: Channel = {
        peer: { role: Role.Agent, id: "a", incarnation: "1", region: "r", failureDomain: "d", address: "a" },
        open: true,
        onMessage: messages.event,
        onClose: new Emitter<string>().event,
        send: () => true,
        close: () => undefined,
        dispose: () => undefined,
    };
    const channels = new AgentChannels(new RoutingTable(), () => [], clock, new SilentLog());
    channels.attach(channel);
    messages.fire(LOAD);
    return { channels, messages };
}

describe("AgentChannels", () => {
    describe("an entry that was stalled", () => {
        it("guards against counting agents as lost before reports from during the stall are read", () => {
            const clock = new StallingClock();
            const { channels, messages } = attachAgent(clock);
            clock.advance(10 * LEASE_TIMES.IDLE_AGENT_TIMEOUT_MS);
            assert.ok(channels.get("a") !== undefined);
            messages.fire(LOAD);
            clock.advance(LEASE_TIMES.ENTRY_LEASE_RENEWAL_MS);
            assert.ok(channels.get("a") !== undefined);
        });
    });

    describe("an entry that is short of processor time", () => {
        it("guards against never noticing a silent agent, because every timeout check is late and skipped", () => {
            const clock = new StallingClock();
            const { channels } = attachAgent(clock);
            for (let check = 0; check < 4; check += 1) {
                clock.advance(LEASE_TIMES.IDLE_AGENT_TIMEOUT_MS);
            }
            assert.equal(channels.get("a"), undefined);
        });
    });

    describe("an agent that is silent", () => {
        it("guards against keeping the agent attached", () => {
            const clock = new StallingClock();
            const { channels } = attachAgent(clock);
            const limitMs = LEASE_TIMES.IDLE_AGENT_TIMEOUT_MS + 2 * LEASE_TIMES.ENTRY_LEASE_RENEWAL_MS;
            for (let passed = 0; passed < limitMs; passed += LEASE_TIMES.ENTRY_LEASE_RENEWAL_MS) {
                clock.advance(LEASE_TIMES.ENTRY_LEASE_RENEWAL_MS);
            }
            assert.equal(channels.get("a"), undefined);
        });
    });
});
