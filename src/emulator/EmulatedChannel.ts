import type { Clock } from "../common/Clock.js";
import { Emitter } from "../common/Emitter.js";
import type { Channel } from "../common/wire/Channel.js";
import { decodeMessage } from "../common/wire/decodeMessage.js";
import { FrameCodec } from "../common/wire/FrameCodec.js";
import type { Identity } from "../common/wire/Identity.js";
import type { Message } from "../common/wire/Message.js";

/**
 * One end of an in-memory connection. Messages arrive in order after a fixed delay, encoded and checked as on a
 * connection between processes. A message that the check refuses throws, so that it fails the test.
 */
export class EmulatedChannel implements Channel {
    public open = true;
    /** While true, messages from this end and its close are lost, as in a network partition. */
    public dropsMessages = false;
    private remote: EmulatedChannel | undefined;
    private readonly messages = new Emitter<Message>();
    private readonly closes = new Emitter<string>();

    public readonly onMessage = this.messages.event;
    public readonly onClose = this.closes.event;

    private constructor(
        public readonly peer: Identity,
        private readonly clock: Clock,
        private readonly delayMs: number,
    ) {}

    /** Returns both ends: the first belongs to `a` and has `b` as its peer. */
    public static pair(
        a: Identity,
        b: Identity,
        clock: Clock,
        delayMs: number,
    ): readonly [EmulatedChannel, EmulatedChannel] {
        const first = new EmulatedChannel(b, clock, delayMs);
        const second = new EmulatedChannel(a, clock, delayMs);
        first.remote = second;
        second.remote = first;
        return [first, second];
    }

    public send(message: Message): boolean {
        if (this.open && !this.dropsMessages) {
            const frame = FrameCodec.encode(message);
            this.clock.schedule(this.delayMs, () => this.remote?.deliver(frame));
        }
        return this.open;
    }

    public close(reason: string): void {
        if (!this.open) {
            return;
        }
        this.open = false;
        this.closes.fire(reason);
        if (!this.dropsMessages) {
            this.clock.schedule(this.delayMs, () => this.remote?.close("closed by peer"));
        }
    }

    public dispose(): void {
        this.close("disposed");
    }

    private deliver(frame: Buffer): void {
        if (!this.open) {
            return;
        }
        for (const value of new FrameCodec().push(frame)) {
            decodeMessage(value).caseOf({
                Left: fault => {
                    throw fault;
                },
                Right: message => this.messages.fire(message),
            });
        }
    }
}
