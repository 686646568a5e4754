import type { Clock } from "../common/Clock.js";
import { Emitter } from "../common/Emitter.js";
import type { Channel } from "../common/wire/Channel.js";
import { decodeMessage } from "../common/wire/decodeMessage.js";
import { FrameCodec } from "../common/wire/FrameCodec.js";
import type { Identity } from "../common/wire/Identity.js";
import type { Message } from "../common/wire/Message.js";
import type { EmulatedProcess } from "./EmulatedProcess.js";
import { PromptProcess } from "./PromptProcess.js";

/**
 * One end of an in-memory connection. Messages arrive in order after a fixed delay, encoded and checked as on a
 * connection between processes. A message that the check refuses throws, so that it fails the test.
 */
export class EmulatedChannel implements Channel {
    public open = true;
    /** While true, messages from this end and its close are lost, as in a network partition. */
    public dropsMessages = false;
    /** Messages from this end that are held up; undefined while none are. */
    private heldFrames: Buffer[] | undefined;
    private remote: EmulatedChannel | undefined;
    private readonly messages = new Emitter<Message>();
    private readonly closes = new Emitter<string>();

    public readonly onMessage = this.messages.event;
    public readonly onClose = this.closes.event;

    private constructor(
        public readonly peer: Identity,
        private readonly clock: Clock,
        private readonly delayMs: number,
        private readonly process: EmulatedProcess,
    ) {}

    /**
     * Returns both ends: the first belongs to `a` and has `b` as its peer. Each is held by a process; by default the
     * processes handle everything at once.
     */
    public static pair(
        a: Identity,
        b: Identity,
        clock: Clock,
        delayMs: number,
        processes: readonly [EmulatedProcess, EmulatedProcess] = [new PromptProcess(clock), new PromptProcess(clock)],
    ): readonly [EmulatedChannel, EmulatedChannel] {
        const first = new EmulatedChannel(b, clock, delayMs, processes[0]);
        const second = new EmulatedChannel(a, clock, delayMs, processes[1]);
        first.remote = second;
        second.remote = first;
        return [first, second];
    }

    public send(message: Message): boolean {
        if (this.open && !this.dropsMessages) {
            const frame = FrameCodec.encode(message);
            this.process.send(() => this.transmit(frame));
        }
        return this.open;
    }

    /** Holds up further messages from this end, as in a partition that heals while the connection lasts. */
    public hold(): void {
        this.heldFrames ??= [];
    }

    /** Delivers the messages that were held up. */
    public release(): void {
        const frames = this.heldFrames ?? [];
        this.heldFrames = undefined;
        frames.forEach(frame => this.transmit(frame));
    }

    public close(reason: string): void {
        if (!this.open) {
            return;
        }
        this.open = false;
        this.closes.fire(reason);
        if (!this.dropsMessages) {
            this.process.send(() => this.transfer(remote => remote.close("closed by peer")));
        }
    }

    public dispose(): void {
        this.close("disposed");
    }

    private transmit(frame: Buffer): void {
        if (this.heldFrames !== undefined) {
            this.heldFrames.push(frame);
            return;
        }
        this.transfer(remote => remote.deliver(frame));
    }

    /** Lets the process of the remote end handle an event after the delay of the network. */
    private transfer(event: (remote: EmulatedChannel) => void): void {
        const { remote } = this;
        if (remote !== undefined) {
            this.clock.schedule(this.delayMs, () => remote.process.receive(() => event(remote)));
        }
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
