import type { Clock } from "../common/Clock.js";
import type { Event } from "../common/Event.js";
import type { Channel } from "../common/wire/Channel.js";
import type { Identity } from "../common/wire/Identity.js";
import type { Message } from "../common/wire/Message.js";

/** Channel that records the time of the last message sent. */
export class TimedChannel implements Channel {
    public readonly onMessage: Event<Message>;
    public readonly onClose: Event<string>;
    private lastSentAt: number;

    constructor(
        private readonly channel: Channel,
        private readonly clock: Clock,
    ) {
        this.onMessage = channel.onMessage;
        this.onClose = channel.onClose;
        this.lastSentAt = clock.now();
    }

    /** Time of the last message sent, or of the creation. */
    public get sentAt(): number {
        return this.lastSentAt;
    }

    public get peer(): Identity {
        return this.channel.peer;
    }

    public get open(): boolean {
        return this.channel.open;
    }

    public send(message: Message): boolean {
        this.lastSentAt = this.clock.now();
        return this.channel.send(message);
    }

    public close(reason: string): void {
        this.channel.close(reason);
    }

    public dispose(): void {
        this.channel.dispose();
    }
}
