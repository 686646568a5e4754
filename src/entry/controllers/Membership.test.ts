import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Emitter } from "../../common/Emitter.js";
import { SilentLog } from "../../common/log/SilentLog.js";
import { SeededRandom } from "../../common/SeededRandom.js";
import type { Table } from "../../common/table/Table.js";
import { VirtualClock } from "../../common/VirtualClock.js";
import { FrameCodec } from "../../common/wire/FrameCodec.js";
import type { Message } from "../../common/wire/Message.js";
import { MemoryTable } from "../../test/MemoryTable.js";
import { EntryIdentity } from "../EntryIdentity.js";
import type { PeerMessage } from "../PeerMessage.js";
import type { PeerMessages } from "../PeerMessages.js";
import { Membership } from "./Membership.js";

const SEED = 20_261_204;
const STEP_MS = 100;

/** In-memory network that delivers at once, except across a partition. */
class Network {
    public readonly clock = new VirtualClock();
    public readonly nodes = new Map<string, Node>();
    /** Ids of the entries on one side of a partition. */
    public readonly partitioned = new Set<string>();
    /** Largest number of rows in one message. */
    public maxRows = 0;
    public messages = 0;
    public bytes = 0;

    public add(id: string, seeds: readonly string[], table: Table | undefined, seed: number): Node {
        const node = new Node(this, id, seeds, table, seed);
        this.nodes.set(node.address, node);
        return node;
    }

    public deliver(from: Node, address: string, message: PeerMessage["message"]): boolean {
        const to = this.nodes.get(address);
        if (to === undefined || this.partitioned.has(from.id) !== this.partitioned.has(to.id)) {
            return false;
        }
        this.messages += 1;
        this.bytes += FrameCodec.encode(message).length;
        this.maxRows = Math.max(this.maxRows, message.kind === "members" ? message.rows.length : 0);
        const reply = (answer: Message) => this.deliver(to, from.address, answer as PeerMessage["message"]);
        to.received.fire({ message, peer: from.identity.current, reply });
        return true;
    }

    /** Advances the clock in steps; table requests complete between the steps. */
    public async run(ms: number): Promise<void> {
        for (let passed = 0; passed < ms; passed += STEP_MS) {
            this.clock.advance(STEP_MS);
            await new Promise(setImmediate);
        }
    }

    public views(): readonly string[] {
        return [...this.nodes.values()].map(node => node.view());
    }
}

class Node implements PeerMessages {
    public readonly received = new Emitter<PeerMessage>();
    public readonly onMessage = this.received.event;
    public readonly identity: EntryIdentity;
    public readonly address: string;
    public readonly membership: Membership;

    constructor(
        private readonly network: Network,
        public readonly id: string,
        seeds: readonly string[],
        table: Table | undefined,
        seed: number,
    ) {
        this.address = `${id}:1`;
        this.identity = new EntryIdentity({ id, address: this.address, region: "r", failureDomain: "f" });
        this.membership = new Membership({
            identity: this.identity,
            peers: this,
            table,
            seeds,
            revision: () => 0,
            clock: network.clock,
            random: new SeededRandom(seed),
            log: new SilentLog(),
        });
        this.membership.start();
    }

    public send(address: string, message: PeerMessage["message"]): Promise<boolean> {
        return Promise.resolve(this.network.deliver(this, address, message));
    }

    public view(): string {
        return this.membership.live().map(row => row.id).sort().join();
    }

    public kill(): void {
        this.membership.dispose();
        this.network.nodes.delete(this.address);
    }
}

function build(count: number, table: Table | undefined, seeds: readonly string[]): Network {
    const network = new Network();
    for (let index = 0; index < count; index++) {
        network.add(`e${index}`, seeds, table, index);
    }
    return network;
}

function idsOf(count: number): string {
    return Array.from({ length: count }, (_, index) => `e${index}`).sort().join();
}

describe("Membership", () => {
    describe("convergence", () => {
        it("finds every entry from one seed, without a store, in messages of bounded size", async () => {
            await fc.assert(
                fc.asyncProperty(fc.integer({ min: 2, max: 40 }), async count => {
                    const network = build(count, undefined, ["e0:1"]);
                    await network.run(20_000);
                    assert.deepEqual(network.views(), network.views().map(() => idsOf(count)));
                    assert.ok(network.maxRows <= 32);
                    assert.ok(network.messages <= count * 2.5 * 20);
                }),
                { numRuns: 10, seed: SEED },
            );
        });

        it("guards against gossip above 3 KB per second and entry, sent and received, among 30 entries", async () => {
            const network = build(30, undefined, ["e0:1"]);
            await network.run(20_000);
            network.bytes = 0;
            await network.run(20_000);
            assert.deepEqual(network.views(), network.views().map(() => idsOf(30)));
            const bytesPerEntry = network.bytes * 2 / 30 / 20;
            assert.ok(bytesPerEntry <= 3000, `${bytesPerEntry} bytes per second`);
        });

        it("finds every entry from lease rows alone", async () => {
            const network = build(5, new MemoryTable(), []);
            await network.run(25_000);
            assert.deepEqual(network.views(), network.views().map(() => idsOf(5)));
        });

        it("guards against losing members when the store fails", async () => {
            let isDown = false;
            const network = build(5, new MemoryTable(() => isDown ? "refused" : "ok"), []);
            await network.run(25_000);
            isDown = true;
            await network.run(120_000);
            assert.deepEqual(network.views(), network.views().map(() => idsOf(5)));
        });

        it("rejoins separated groups after a partition that outlasts the retention of dead rows", async () => {
            const network = build(6, new MemoryTable(), []);
            await network.run(25_000);
            network.partitioned.add("e0").add("e1");
            await network.run(90_000);
            assert.equal(network.nodes.get("e0:1")?.view(), "e0,e1");
            network.partitioned.clear();
            await network.run(30_000);
            assert.deepEqual(network.views(), network.views().map(() => idsOf(6)));
        });
    });

    describe("leaving", () => {
        it("removes a killed entry within 8 s for good", async () => {
            await fc.assert(
                fc.asyncProperty(fc.integer({ min: 2, max: 12 }), async count => {
                    const network = build(count, undefined, ["e0:1"]);
                    await network.run(15_000);
                    network.nodes.get("e1:1")!.kill();
                    await network.run(8000);
                    for (let second = 0; second < 90; second++) {
                        assert.ok(network.views().every(view => !view.split(",").includes("e1")));
                        await network.run(1000);
                    }
                }),
                { numRuns: 5, seed: SEED },
            );
        });

        it("removes a killed entry of a pair within 6 s", async () => {
            const network = build(2, undefined, ["e0:1", "e1:1"]);
            await network.run(5000);
            assert.deepEqual(network.views(), ["e0,e1", "e0,e1"]);
            network.nodes.get("e1:1")!.kill();
            await network.run(6000);
            assert.deepEqual(network.views(), ["e0"]);
        });

        it("guards against new work for a draining entry", async () => {
            const network = build(4, undefined, ["e0:1"]);
            await network.run(10_000);
            network.nodes.get("e2:1")!.membership.drain();
            assert.deepEqual(network.views(), network.views().map(() => "e0,e1,e3"));
            const rows = network.nodes.get("e0:1")!.membership.rows();
            assert.equal(rows.find(row => row.id === "e2")?.draining, true);
        });

        it("guards against lease rows of dead entries that are never deleted", async () => {
            const table = new MemoryTable();
            const network = build(3, table, []);
            await network.run(15_000);
            network.nodes.get("e1:1")!.kill();
            await network.nodes.get("e2:1")!.membership.leave();
            assert.deepEqual(table.rows.list("entries/").map(row => row.key), ["entries/r/e0", "entries/r/e1"]);
            await network.run(90_000);
            assert.deepEqual(table.rows.list("entries/").map(row => row.key), ["entries/r/e0"]);
        });
    });

    describe("incarnations", () => {
        it("guards against a restarted entry that stays hidden behind its old row", async () => {
            const network = build(4, undefined, ["e0:1"]);
            await network.run(30_000);
            network.nodes.get("e1:1")!.kill();
            const restarted = network.add("e1", ["e0:1"], undefined, 99);
            await network.run(10_000);
            for (const node of network.nodes.values()) {
                const row = node.membership.live().find(member => member.id === "e1");
                assert.equal(row?.incarnation, restarted.identity.current.incarnation);
            }
        });

        it("spreads a renewed incarnation of a running entry", async () => {
            const network = build(4, undefined, ["e0:1"]);
            await network.run(10_000);
            const { incarnation } = network.nodes.get("e3:1")!.identity.renew();
            await network.run(8000);
            for (const node of network.nodes.values()) {
                assert.equal(node.membership.rows().find(row => row.id === "e3")?.incarnation, incarnation);
            }
        });
    });

    it("gives every entry the same home of a shard", async () => {
        const network = build(5, undefined, ["e0:1"]);
        await network.run(10_000);
        for (let shard = 0; shard < 20; shard++) {
            const homes = [...network.nodes.values()].map(node => node.membership.home("s", shard)?.id);
            assert.equal(new Set(homes).size, 1);
        }
    });
});
