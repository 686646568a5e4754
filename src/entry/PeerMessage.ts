import type { Identity } from "../common/wire/Identity.js";
import type { Message } from "../common/wire/Message.js";
import type { MessageOf } from "../common/wire/MessageOf.js";

/** Message between entries that is not part of a call. */
export interface PeerMessage {
    readonly message: MessageOf<"members" | "configuration" | "pull">;
    readonly peer: Identity;
    /** Sends a message on the connection that this one came from; returns false when it is closed. */
    readonly reply: (message: Message) => boolean;
}
