import type { Identity } from "../../common/wire/Identity.js";
import type { Dialer } from "./Dialer.js";
import { isConnectionRefused } from "./isConnectionRefused.js";

/** Returns true when the process has certainly ended: its address refuses connections or has another incarnation. */
export async function hasTerminated(dial: Dialer, peer: Identity): Promise<boolean> {
    try {
        const channel = await dial(peer.address);
        const terminated = channel.peer.incarnation !== peer.incarnation;
        channel.close("probe");
        return terminated;
    }
    catch (error) {
        return isConnectionRefused(error);
    }
}
