import type { Clock } from "../common/Clock.js";
import type { Channel } from "../common/wire/Channel.js";

const ATTACHED_TIMEOUT_MS = 3000;

/** Resolves with `undefined` when the entry accepts the attachment, otherwise with the reason. */
export function awaitAttached(channel: Channel, clock: Clock): Promise<string | undefined> {
    return new Promise(resolve => {
        const cancel = clock.schedule(ATTACHED_TIMEOUT_MS, () => {
            finish("no response to attach");
        });
        const messages = channel.onMessage(message => {
            if (message.kind === "attached") {
                finish(message.accepted ? undefined : message.reason ?? "refused");
            }
        });
        const closes = channel.onClose(finish);
        function finish(reason: string | undefined): void {
            cancel();
            messages.dispose();
            closes.dispose();
            resolve(reason);
        }
        if (!channel.open) {
            finish("channel is closed");
        }
    });
}
