import type { Identity } from "../../common/wire/Identity.js";
import type { Dialer } from "./Dialer.js";
import { isRefused } from "./isRefused.js";

/** Tells whether a process has certainly ended: its address refuses connections or belongs to another incarnation. */
export async function isGone(dial: Dialer, peer: Identity): Promise<boolean> {
    try {
        const channel = await dial(peer.address);
        const gone = channel.peer.incarnation !== peer.incarnation;
        channel.close("probe");
        return gone;
    }
    catch (error) {
        return isRefused(error);
    }
}
