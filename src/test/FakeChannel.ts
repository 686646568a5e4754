import { Emitter } from "../common/Emitter.js";
import type { Channel } from "../common/wire/Channel.js";
import type { Identity } from "../common/wire/Identity.js";
import type { Message } from "../common/wire/Message.js";
import { Role } from "../common/wire/Role.js";

/** Channel without a socket: records sent messages; a test fires the events for received messages and closes. */
export class FakeChannel implements Channel {
    public readonly sent: Message[] = [];
    public readonly messages = new Emitter<Message>();
    public readonly closes = new Emitter<string>();
    public readonly onMessage = this.messages.event;
    public readonly onClose = this.closes.event;
    public open = true;
    public readonly peer: Identity;

    constructor(id = "a") {
        const address = "127.0.0.1:1";
        this.peer = { role: Role.Agent, id, incarnation: "i", region: "r", failureDomain: "f", address };
    }

    public send(message: Message): boolean {
        if (this.open) {
            this.sent.push(message);
        }
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
