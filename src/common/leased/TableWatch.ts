import type { Clock } from "../Clock.js";
import type { Disposable } from "../Disposable.js";
import type { Log } from "../log/Log.js";
import type { Random } from "../Random.js";
import type { RowStore } from "./RowStore.js";
import { StoreEvent } from "./StoreEvent.js";

/** Pause after a call that failed, in milliseconds; a random part keeps processes apart. */
const RETRY_MS = 150;
const RETRY_JITTER_MS = 150;

/** Takes the value of a row that is there or has changed. */
type TakeRow = (key: string, value: Buffer) => void;

/** Task that follows one table of the store for as long as the process lives, through outages and dropped history. */
export class TableWatch implements Disposable {
    private version: number | undefined;
    private available = true;
    private disposed = false;

    constructor(
        private readonly store: RowStore,
        private readonly table: string,
        private readonly take: TakeRow,
        /** How long one call waits for a change. A connection that has gone silent is noticed this much and a margin later. */
        private readonly waitMs: number,
        private readonly clock: Clock,
        private readonly random: Random,
        private readonly log: Log,
    ) {}

    /** Begins to follow the table. */
    public start(): void {
        void this.loop();
    }

    public dispose(): void {
        this.disposed = true;
    }

    private async loop(): Promise<void> {
        while (!this.disposed) {
            const done = await this.once();
            if (!done) {
                await this.pause();
            }
        }
    }

    /** Makes one call; returns false when a pause should follow. */
    private async once(): Promise<boolean> {
        const answer = this.version === undefined
            ? await this.store.read(this.table)
            : await this.store.follow(this.table, this.version, this.waitMs);
        if (this.disposed) {
            return true;
        }
        if (answer.kind === "unavailable") {
            this.lost(answer.reason);
            return false;
        }
        this.regained();
        if (answer.kind === "expired") {
            this.log.write(StoreEvent.HistoryExpired, { table: this.table, version: this.version });
            this.version = undefined;
            return true;
        }
        this.version = answer.version;
        for (const { key, value } of answer.rows) {
            if (value !== undefined) {
                this.take(key, value);
            }
        }
        return true;
    }

    private lost(reason: string): void {
        if (this.available) {
            this.available = false;
            this.log.write(StoreEvent.StoreLost, { table: this.table, reason });
        }
    }

    private regained(): void {
        if (!this.available) {
            this.available = true;
            this.log.write(StoreEvent.StoreRegained, { table: this.table });
        }
    }

    private pause(): Promise<void> {
        return new Promise(resolve => {
            this.clock.schedule(RETRY_MS + RETRY_JITTER_MS * this.random.next(), resolve);
        });
    }
}
