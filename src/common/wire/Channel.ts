import type { Disposable } from "../Disposable.js";
import type { Event } from "../Event.js";
import type { Identity } from "./Identity.js";
import type { Message } from "./Message.js";

/** Ordered message channel to one peer after a successful handshake. Sending never blocks. */
export interface Channel extends Disposable {
    readonly peer: Identity;
    /** False once closed; messages sent afterwards are dropped. */
    readonly open: boolean;
    readonly onMessage: Event<Message>;
    /** Fires once, with the reason for the close. */
    readonly onClose: Event<string>;
    /** Queues a message; returns false when the channel is closed or the send queue is over its limit. */
    send(message: Message): boolean;
    /** Sends `goodbye`, flushes and closes. */
    close(reason: string): void;
}
