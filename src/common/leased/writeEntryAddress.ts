import type { Clock } from "../Clock.js";
import type { Log } from "../log/Log.js";
import { ENTRIES_TABLE } from "./ENTRIES_TABLE.js";
import { NodeEvent } from "./NodeEvent.js";
import type { RowStore } from "./RowStore.js";

/** Delay before the entry address is written again after a failure. */
const RETRY_DELAY_MS = 400;

/** Writes the address of an entry to the store, and retries until it succeeds. */
export async function writeEntryAddress(store: RowStore, address: string, clock: Clock, log: Log): Promise<void> {
    for (;;) {
        const fault = await store.write(ENTRIES_TABLE, address, Buffer.from(address));
        if (fault === undefined) {
            log.write(NodeEvent.EntryAddressWritten, { address });
            return;
        }
        await new Promise<void>(resolve => {
            clock.schedule(RETRY_DELAY_MS, resolve);
        });
    }
}
