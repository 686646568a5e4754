import type { Clock } from "../../common/Clock.js";
import type { ConfigurationStore } from "../../common/configuration/ConfigurationStore.js";
import type { Log } from "../../common/log/Log.js";
import { ClusterEvent } from "../ClusterEvent.js";
import type { ConfigurationRows } from "./ConfigurationRows.js";

/** An invalid section holds the local revision back; while the head is unchanged, it is read again after this time. */
const REREAD_INTERVAL_MS = 10_000;

/** Reads the head row and the sections that changed into the configuration of this process. */
export class HeadReader {
    private polling: Promise<void> | undefined;
    private available = true;
    private readAt: number | undefined;
    private attemptedAt = 0;
    private storedRevision: number | undefined;
    /** Revision of a head whose changes were all read but included an invalid section, and the time of the read. */
    private incomplete: { readonly revision: number; readonly at: number; } | undefined;

    constructor(
        private readonly rows: ConfigurationRows,
        private readonly store: ConfigurationStore,
        private readonly clock: Clock,
        private readonly log: Log,
    ) {}

    /** Document revision of the store when it was last read; undefined when it never was. */
    public get lastRevision(): number | undefined {
        return this.storedRevision;
    }

    /** Time of the last attempt to read the store. */
    public get lastAttemptAt(): number {
        return this.attemptedAt;
    }

    /** Milliseconds since the store was last read; undefined when it never was. */
    public ageMs(): number | undefined {
        return this.readAt === undefined ? undefined : this.clock.now() - this.readAt;
    }

    /** Reads the store, one read at a time, and logs when the store becomes unavailable or available again. */
    public poll(): Promise<void> {
        this.polling ??= this.attempt().finally(() => {
            this.polling = undefined;
        });
        return this.polling;
    }

    /** Reads the store; rejects with a fault when that fails. */
    public async readToHead(): Promise<void> {
        const { value } = await this.rows.readHead();
        this.storedRevision = value.revision;
        this.readAt = this.clock.now();
        if (value.revision < this.store.revision) {
            this.log.write(ClusterEvent.StoreBehind, { stored: value.revision, revision: this.store.revision });
            return;
        }
        if (value.revision === this.store.revision || this.isIncomplete(value.revision)) {
            return;
        }
        const sections = await this.rows.readChanges(value, this.store.revision);
        const before = this.store.revision;
        const invalid = this.store.adopt(value.revision, sections);
        this.incomplete = invalid.length === 0 ? undefined : { revision: value.revision, at: this.clock.now() };
        for (const team of invalid) {
            this.log.write(ClusterEvent.SectionInvalid, { team, sender: "store" });
        }
        if (this.store.revision > before) {
            this.log.write(ClusterEvent.ConfigurationAdopted, { revision: this.store.revision, from: "store" });
        }
    }

    private isIncomplete(revision: number): boolean {
        const { incomplete } = this;
        return incomplete?.revision === revision && this.clock.now() - incomplete.at < REREAD_INTERVAL_MS;
    }

    private async attempt(): Promise<void> {
        this.attemptedAt = this.clock.now();
        try {
            await this.readToHead();
            if (!this.available) {
                this.log.write(ClusterEvent.StoreAvailable);
            }
            this.available = true;
        }
        catch (error) {
            if (this.available) {
                this.log.write(ClusterEvent.StoreUnavailable, { reason: String(error) });
            }
            this.available = false;
        }
    }
}
