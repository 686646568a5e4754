import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import { Emitter } from "../../common/Emitter.js";
import { VirtualClock } from "../../common/VirtualClock.js";
import type { Channel } from "../../common/wire/Channel.js";
import type { Message } from "../../common/wire/Message.js";
import { SharedChannels } from "./SharedChannels.js";

const ADDRESS = "127.0.0.1:1";

class FakeChannel implements Channel {
    public readonly messages = new Emitter<Message>();
    public readonly closes = new Emitter<string>();
    public readonly onMessage = this.messages.event;
    public readonly onClose = this.closes.event;
    public open = true;
    public readonly peer = {
        role: "agent",
        id: "a",
        incarnation: "i",
        region: "r",
        failureDomain: "f",
        address: ADDRESS,
    } as const;

    public send(): boolean {
        return this.open;
    }

    public close(reason = "closed"): void {
        if (this.open) {
            this.open = false;
            this.closes.fire(reason);
        }
    }

    public dispose(): void {
        this.close();
    }
}

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
