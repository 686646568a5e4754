import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import { VirtualClock } from "../../common/VirtualClock.js";
import { FakeChannel } from "../../test/FakeChannel.js";
import { SharedChannels } from "./SharedChannels.js";

const ADDRESS = "127.0.0.1:1";

describe("SharedChannels", () => {
    let clock: VirtualClock;
    let dialled: FakeChannel[];
    let channels: SharedChannels;

    beforeEach(() => {
        clock = new VirtualClock();
        dialled = [];
        channels = new SharedChannels(clock, () => {
            const channel = new FakeChannel();
            dialled.push(channel);
            return Promise.resolve(channel);
        });
    });

    describe("sharing", () => {
        it("guards against a connection for each settlement, and against closing it under another one", async () => {
            const [first, second] = await Promise.all([channels.lease(ADDRESS), channels.lease(ADDRESS)]);
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
            (await channels.lease(ADDRESS)).close("settled");
            clock.advance(4999);
            assert.deepEqual(dialled.map(({ open }) => open), [true]);
            clock.advance(1);
            assert.deepEqual(dialled.map(({ open }) => open), [false]);
        });
    });

    describe("a peer that does not answer", () => {
        it("guards against using its connection again, and tells the others", async () => {
            const [first, second] = await Promise.all([channels.lease(ADDRESS), channels.lease(ADDRESS)]);
            const reasons: string[] = [];
            second.onClose(reason => reasons.push(reason));
            first.dispose();
            assert.equal(reasons.length, 1);
            await channels.lease(ADDRESS);
            assert.equal(dialled.length, 2);
        });

        it("guards against remembering a failed attempt to connect", async () => {
            let fails = true;
            const flaky = new SharedChannels(clock, () => {
                return fails ? Promise.reject(new Error("refused")) : Promise.resolve(new FakeChannel());
            });
            await assert.rejects(flaky.lease(ADDRESS));
            fails = false;
            assert.equal((await flaky.lease(ADDRESS)).open, true);
        });
    });
});
