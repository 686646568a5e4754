import type { Message } from "../common/wire/Message.js";

/** Agent attached to this entry, as seen by the distribution of the configuration. */
export interface AttachedAgent {
    readonly id: string;
    readonly service: string;
    /** Configuration document revision in its last heartbeat; 0 when it has none. */
    readonly revision: number;
    /** Revision of its service's section in its last heartbeat; 0 when it has none. */
    readonly section: number;
    /** Sends a message to the agent; returns false when the connection is closed. */
    send(message: Message): boolean;
}
