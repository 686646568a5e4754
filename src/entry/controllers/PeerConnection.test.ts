import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { VirtualClock } from "../../common/VirtualClock.js";
import type { MessageOf } from "../../common/wire/MessageOf.js";
import { FakeChannel } from "../../test/FakeChannel.js";
import { PeerConnection } from "./PeerConnection.js";

const MAX_CALLS = 4096;
const TIMEOUT_MS = 1000;

function newConnection(): { channel: FakeChannel; connection: PeerConnection; } {
    const channel = new FakeChannel();
    const connection = new PeerConnection(channel, new VirtualClock());
    connection.listen();
    return { channel, connection };
}

describe("PeerConnection", () => {
    describe("limit on calls in flight", () => {
        it("guards against reporting a resubmission as not run when its call cannot be sent", async () => {
            const { connection } = newConnection();
            for (let count = 0; count < MAX_CALLS; count++) {
                connection.call("job.submit", {}, TIMEOUT_MS).catch(() => undefined);
            }
            const refused = { code: "overloaded", verdict: "may_have_run" };
            await assert.rejects(connection.call("job.submit", {}, TIMEOUT_MS), refused);
        });

        it("guards against reporting a resubmission as not run when the peer handles too many calls", async () => {
            const { channel, connection } = newConnection();
            const call = { kind: "call", id: 1, method: "job.submit", body: {} } as const;
            for (let count = 0; count < MAX_CALLS; count++) {
                void connection.answer(call, () => new Promise(() => undefined));
            }
            await connection.answer({ ...call, id: 2 }, () => Promise.resolve("handled"));
            const reply = channel.sent.find((message): message is MessageOf<"reply"> => message.kind === "reply");
            assert.equal(reply?.fault?.code, "overloaded");
            assert.equal(reply.fault.verdict, "may_have_run");
        });
    });
});
