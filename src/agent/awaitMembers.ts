import type { Clock } from "../common/Clock.js";
import type { Channel } from "../common/wire/Channel.js";

/** Maximum wait for the member rows of a seed, in milliseconds; after that the seed itself is used as an entry. */
const MEMBERS_WAIT_MS = 1000;

/** Resolves when the entry has sent member rows, when its channel closes, or after a timeout. */
export function awaitMembers(channel: Channel, clock: Clock): Promise<void> {
    return new Promise(resolve => {
        const cancel = clock.schedule(MEMBERS_WAIT_MS, resolve);
        const finish = () => {
            cancel();
            resolve();
        };
        channel.onClose(finish);
        channel.onMessage(message => {
            if (message.kind === "members") {
                finish();
            }
        });
    });
}
