import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import { VirtualClock } from "../../common/VirtualClock.js";
import { FakeChannel } from "../../test/FakeChannel.js";
import { ChannelPool } from "./ChannelPool.js";

const ADDRESS = "127.0.0.1:1";

describe("ChannelPool", () => {
    let clock: VirtualClock;
    let dialled: FakeChannel[];
    let channels: ChannelPool;

    beforeEach(() => {
        clock = new VirtualClock();
        dialled = [];
        channels = new ChannelPool(clock, () => {
            const channel = new FakeChannel();
            dialled.push(channel);
            return Promise.resolve(channel);
        });
    });

    describe("sharing", () => {
        it("guards against a connection per settlement, and against closing one that another settlement uses", async () => {
            const [first, second] = await Promise.all([channels.acquire(ADDRESS), channels.acquire(ADDRESS)]);
            const seen: string[] = [];
            second.onMessage(message => seen.push(message.kind));
            first.close("settled");
            dialled[0]?.messages.fire({ kind: "alive" });
            assert.equal(dialled.length, 1);
            assert.equal(first.open, false);
            assert.equal(second.open, true);
            assert.deepEqual(seen, ["alive"]);
        });

        it("guards against keeping an unused connection open", async () => {
            (await channels.acquire(ADDRESS)).close("settled");
            clock.advance(4999);
            assert.deepEqual(dialled.map(({ open }) => open), [true]);
            clock.advance(1);
            assert.deepEqual(dialled.map(({ open }) => open), [false]);
        });
    });

    describe("a peer that does not answer", () => {
        it("guards against reusing its connection, and notifies the other users", async () => {
            const [first, second] = await Promise.all([channels.acquire(ADDRESS), channels.acquire(ADDRESS)]);
            const reasons: string[] = [];
            second.onClose(reason => reasons.push(reason));
            first.dispose();
            assert.equal(reasons.length, 1);
            await channels.acquire(ADDRESS);
            assert.equal(dialled.length, 2);
        });

        it("guards against caching a failed attempt to connect", async () => {
            let fails = true;
            const flaky = new ChannelPool(clock, () => {
                return fails ? Promise.reject(new Error("refused")) : Promise.resolve(new FakeChannel());
            });
            await assert.rejects(flaky.acquire(ADDRESS));
            fails = false;
            assert.equal((await flaky.acquire(ADDRESS)).open, true);
        });
    });
});
