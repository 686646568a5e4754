import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Emitter } from "../common/Emitter.js";
import { SilentLog } from "../common/log/SilentLog.js";
import { VirtualClock } from "../common/VirtualClock.js";
import type { Channel } from "../common/wire/Channel.js";
import type { Message } from "../common/wire/Message.js";
import { Attachment } from "./Attachment.js";
import { TimedChannel } from "./TimedChannel.js";

describe("Attachment", () => {
    it("guards against keepalives beside outcomes, against missing keepalives, and against an unreported revision", () => {
        const clock = new VirtualClock();
        const messages = new Emitter<Message>();
        const sent: Message[] = [];
        const peer = {
            role: "entry",
            id: "e",
            incarnation: "i",
            region: "r",
            failureDomain: "f",
            address: "a",
        } as const;
        const fake: Channel = {
            peer,
            open: true,
            onMessage: messages.event,
            onClose: new Emitter<string>().event,
            send: message => sent.push(message) > 0,
            close: () => undefined,
            dispose: () => undefined,
        };
        const channel = new TimedChannel(fake, clock);
        const report = { load: 0, revision: 1, section: 1 };
        const attachment = new Attachment(channel, () => ({ ...report }), clock, new SilentLog());
        attachment.setState("attached");
        const take = () => sent.splice(0).filter(({ kind }) => kind !== "credit");
        clock.advance(250);
        assert.deepEqual(take(), [{ kind: "heartbeat", ...report }]);
        for (let step = 0; step < 20; step++) {
            channel.send({ kind: "credit", count: 1 });
            messages.fire({ kind: "alive" });
            clock.advance(500);
        }
        assert.deepEqual(take(), []);
        clock.advance(1000);
        assert.deepEqual(take(), [{ kind: "alive" }]);
        report.section = 2;
        clock.advance(250);
        assert.deepEqual(take(), [{ kind: "heartbeat", ...report }]);
    });
});
