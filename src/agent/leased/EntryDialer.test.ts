import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { SilentLog } from "../../common/log/SilentLog.js";
import { VirtualClock } from "../../common/VirtualClock.js";
import type { Channel } from "../../common/wire/Channel.js";
import { Role } from "../../common/wire/Role.js";
import { EmulatedChannel } from "../../emulator/EmulatedChannel.js";
import { EntryDialer } from "./EntryDialer.js";

const ENTRIES = 35;
const AGENTS = 160;
const WANTED = 8;

/** Maximum share of the agents' connections at one entry, as a multiple of the mean. */
const MAX_SKEW = 1.6;

const identity = (role: Role, id: string): Channel["peer"] => {
    return { role, id, incarnation: "1", region: "r", failureDomain: "d", address: id };
};

/** Dialer of one agent with its open channels by address, and entries that can be made unreachable. */
class DialerHarness {
    public readonly clock = new VirtualClock();
    public readonly open = new Map<string, Channel>();
    public readonly down = new Set<string>();
    public readonly released: string[] = [];
    public dials = 0;
    public readonly dialer: EntryDialer;

    constructor(agent = "agent") {
        const owner = {
            attach: (channel: Channel) => {
                const { address } = channel.peer;
                this.open.set(address, channel);
                channel.onClose(() => this.open.delete(address));
            },
            release: (channel: Channel) => {
                this.released.push(channel.peer.address);
                channel.close("released");
            },
        };
        this.dialer = new EntryDialer(agent, WANTED, address => this.dial(address), owner, this.clock, new SilentLog());
    }

    public async advance(ms: number): Promise<void> {
        for (let passed = 0; passed < ms; passed += 10) {
            this.clock.advance(10);
            await new Promise(resolve => setImmediate(resolve));
        }
    }

    public disconnect(address: string): void {
        this.down.add(address);
        this.open.get(address)?.close("reset");
    }

    private dial(address: string): Promise<Channel> {
        this.dials += 1;
        if (this.down.has(address)) {
            return Promise.reject(new Error("refused"));
        }
        const entry = identity(Role.Entry, address);
        const [channel] = EmulatedChannel.pair(identity(Role.Agent, "agent"), entry, this.clock, 1);
        return Promise.resolve(channel);
    }
}

const addresses = Array.from({ length: ENTRIES }, (_, number) => `10.0.0.${number}:7720`);

describe("EntryDialer", () => {
    describe("more entries than are wanted", () => {
        it("guards against a connection to every entry", async () => {
            const harness = new DialerHarness();
            harness.dialer.addAddresses(addresses);
            await harness.advance(100);
            assert.equal(harness.open.size, WANTED);
            assert.equal(harness.dials, WANTED);
        });

        it("guards against entries that get far more agents than others", async () => {
            const counts = new Map<string, number>();
            for (let agent = 0; agent < AGENTS; agent += 1) {
                const harness = new DialerHarness(`agent-${agent}`);
                harness.dialer.addAddresses(addresses);
                await harness.advance(10);
                [...harness.open.keys()].forEach(address => counts.set(address, (counts.get(address) ?? 0) + 1));
            }
            const mean = (AGENTS * WANTED) / ENTRIES;
            assert.equal(counts.size, ENTRIES);
            assert.ok(Math.max(...counts.values()) <= MAX_SKEW * mean, [...counts.values()].join(" "));
        });

        it("guards against connections to seeds that stay open when entries of higher rank become known", async () => {
            const harness = new DialerHarness();
            harness.dialer.addAddresses(addresses.slice(0, WANTED));
            await harness.advance(100);
            harness.dialer.addAddresses(addresses);
            await harness.advance(500);
            const fresh = new DialerHarness();
            fresh.dialer.addAddresses(addresses);
            await fresh.advance(100);
            assert.deepEqual([...harness.open.keys()].sort(), [...fresh.open.keys()].sort());
        });
    });

    describe("an entry that is lost", () => {
        it("guards against a connection that is not replaced, and against a replacement that stays after its return", async () => {
            const harness = new DialerHarness();
            harness.dialer.addAddresses(addresses);
            await harness.advance(100);
            const before = [...harness.open.keys()].sort();
            const [lost = ""] = before;
            harness.disconnect(lost);
            await harness.advance(1000);
            assert.equal(harness.open.size, WANTED);
            harness.down.delete(lost);
            await harness.advance(3000);
            assert.deepEqual([...harness.open.keys()].sort(), before);
        });

        it("guards against dialling other entries during a short restart", async () => {
            const harness = new DialerHarness();
            harness.dialer.addAddresses(addresses);
            await harness.advance(100);
            const [lost = ""] = harness.open.keys();
            harness.open.get(lost)?.close("reset");
            await harness.advance(200);
            assert.equal(harness.open.size, WANTED);
            assert.deepEqual(harness.released, []);
        });
    });

    describe("a power loss of all entries", () => {
        it("guards against an entry that has restarted and waits for its agents", async () => {
            const harness = new DialerHarness();
            harness.dialer.addAddresses(addresses);
            await harness.advance(100);
            addresses.forEach(address => harness.disconnect(address));
            await harness.advance(3000);
            harness.down.clear();
            await harness.advance(320);
            assert.equal(harness.open.size, WANTED);
        });
    });

    describe("a loss of all entries", () => {
        it("guards against dialling every entry at once", async () => {
            const harness = new DialerHarness();
            addresses.forEach(address => harness.down.add(address));
            harness.dialer.addAddresses(addresses);
            await harness.advance(1000);
            // About five attempts for each of twice the wanted entries in this time.
            assert.ok(harness.dials <= 2 * WANTED * 5, `${harness.dials} dials`);
            harness.down.clear();
            await harness.advance(3000);
            assert.equal(harness.open.size, WANTED);
        });
    });
});
