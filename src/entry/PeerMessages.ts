import type { Event } from "../common/Event.js";
import type { PeerMessage } from "./PeerMessage.js";

/** Messages between entries that are not part of a call. */
export interface PeerMessages {
    readonly onMessage: Event<PeerMessage>;
    /** Sends to the entry at `address`, whatever its incarnation; resolves to false when it cannot be reached. */
    send(address: string, message: PeerMessage["message"]): Promise<boolean>;
}
