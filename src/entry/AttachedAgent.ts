import type { Message } from "../common/wire/Message.js";

/** Agent attached to this entry, as the distribution of the configuration needs it. */
export interface AttachedAgent {
    readonly id: string;
    readonly service: string;
    /** Document revision of its last heartbeat; 0 for none. */
    readonly revision: number;
    /** Revision of the section of its service, by its last heartbeat; 0 for none. */
    readonly section: number;
    /** Returns false when the connection is closed. */
    send(message: Message): boolean;
}
