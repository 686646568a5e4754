import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { VirtualClock } from "../../common/VirtualClock.js";
import type { MessageOf } from "../../common/wire/MessageOf.js";
import { FakeChannel } from "../../test/FakeChannel.js";
import { PeerLink } from "./PeerLink.js";

const BOUND = 4096;
const TIMEOUT_MS = 1000;

function newLink(): { channel: FakeChannel; link: PeerLink; } {
    const channel = new FakeChannel();
    const link = new PeerLink(channel, new VirtualClock());
    link.listen();
    return { channel, link };
}

describe("PeerLink", () => {
    describe("bound on calls", () => {
        it("guards against calling a resubmission not run when its call cannot be sent", async () => {
            const { link } = newLink();
            for (let count = 0; count < BOUND; count++) {
                link.call("job.submit", {}, TIMEOUT_MS).catch(() => undefined);
            }
            const refused = { code: "overloaded", verdict: "may_have_run" };
            await assert.rejects(link.call("job.submit", {}, TIMEOUT_MS), refused);
        });

        it("guards against calling a resubmission not run when the peer serves too many calls", async () => {
            const { channel, link } = newLink();
            const call = { kind: "call", id: 1, method: "job.submit", body: {} } as const;
            for (let count = 0; count < BOUND; count++) {
                void link.answer(call, () => new Promise(() => undefined));
            }
            await link.answer({ ...call, id: 2 }, () => Promise.resolve("handled"));
            const reply = channel.sent.find((message): message is MessageOf<"reply"> => message.kind === "reply");
            assert.equal(reply?.fault?.code, "overloaded");
            assert.equal(reply.fault.verdict, "may_have_run");
        });
    });
});
