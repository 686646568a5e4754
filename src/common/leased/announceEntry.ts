import type { Clock } from "../Clock.js";
import type { Log } from "../log/Log.js";
import { ENTRIES_TABLE } from "./ENTRIES_TABLE.js";
import type { RowStore } from "./RowStore.js";
import { StoreEvent } from "./StoreEvent.js";

/** Pause between tries to write the own address. */
const RETRY_MS = 400;

/** Writes the own address of an entry to the store, again and again until it is there. */
export async function announceEntry(store: RowStore, address: string, clock: Clock, log: Log): Promise<void> {
    for (;;) {
        const fault = await store.write(ENTRIES_TABLE, address, Buffer.from(address));
        if (fault === undefined) {
            log.write(StoreEvent.EntryAnnounced, { address });
            return;
        }
        await new Promise<void>(resolve => {
            clock.schedule(RETRY_MS, resolve);
        });
    }
}
