import type { Clock } from "../Clock.js";
import type { Disposable } from "../Disposable.js";
import type { Log } from "../log/Log.js";
import type { Random } from "../Random.js";
import { NodeEvent } from "./NodeEvent.js";
import type { RowStore } from "./RowStore.js";

/** Delay before a retry after a failed call, in milliseconds; random jitter spreads the retries of processes. */
const RETRY_DELAY_MS = 150;
const RETRY_JITTER_MS = 150;

/** Receives the value of each row that exists or has changed. */
type RowListener = (key: string, value: Buffer) => void;

/** Follows one table of the store until disposed, through outages of the store and the loss of its change history. */
export class TableWatcher implements Disposable {
    private version: number | undefined;
    private available = true;
    private disposed = false;

    constructor(
        private readonly store: RowStore,
        private readonly table: string,
        private readonly onRow: RowListener,
        /** Time that one call waits for a change. A dead connection is detected after this time and a margin. */
        private readonly waitMs: number,
        private readonly clock: Clock,
        private readonly random: Random,
        private readonly log: Log,
    ) {}

    public start(): void {
        void this.followTable();
    }

    public dispose(): void {
        this.disposed = true;
    }

    private async followTable(): Promise<void> {
        while (!this.disposed) {
            const done = await this.callStore();
            if (!done) {
                await this.waitForRetry();
            }
        }
    }

    /** Makes one call; returns false when it failed and a delay should follow. */
    private async callStore(): Promise<boolean> {
        const result = this.version === undefined
            ? await this.store.read(this.table)
            : await this.store.follow(this.table, this.version, this.waitMs);
        if (this.disposed) {
            return true;
        }
        if (result.kind === "unavailable") {
            this.reportUnavailable(result.reason);
            return false;
        }
        this.reportAvailable();
        if (result.kind === "expired") {
            this.log.write(NodeEvent.HistoryExpired, { table: this.table, version: this.version });
            this.version = undefined;
            return true;
        }
        this.version = result.version;
        for (const { key, value } of result.rows) {
            if (value !== undefined) {
                this.onRow(key, value);
            }
        }
        return true;
    }

    private reportUnavailable(reason: string): void {
        if (this.available) {
            this.available = false;
            this.log.write(NodeEvent.StoreUnavailable, { table: this.table, reason });
        }
    }

    private reportAvailable(): void {
        if (!this.available) {
            this.available = true;
            this.log.write(NodeEvent.StoreAvailable, { table: this.table });
        }
    }

    private waitForRetry(): Promise<void> {
        return new Promise(resolve => {
            this.clock.schedule(RETRY_DELAY_MS + RETRY_JITTER_MS * this.random.next(), resolve);
        });
    }
}
