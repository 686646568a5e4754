import type { Clock } from "../../common/Clock.js";
import type { Log } from "../../common/log/Log.js";
import type { Row } from "../../common/table/Row.js";
import type { Table } from "../../common/table/Table.js";
import type { Member } from "../../common/wire/Member.js";
import { ClusterEvent } from "../ClusterEvent.js";

/** A lease row that has not changed for this time belongs to a dead entry and is deleted. */
const EXPIRE_MS = 60_000;

interface Observation {
    readonly revision: number;
    readonly since: number;
}

/** Lease rows `entries/<region>/<id>` in the table service, through which entries discover each other. */
export class LeaseRows {
    private readonly observed = new Map<string, Observation>();
    private renewing = false;

    constructor(
        private readonly table: Table,
        private readonly region: string,
        private readonly clock: Clock,
        private readonly log: Log,
    ) {}

    /**
     * Writes this entry's row. With `list`, also deletes rows of dead entries and returns the rows of the others. Returns
     * undefined without `list`, while the store is unavailable, and while an earlier renewal is in progress.
     */
    public async renew(own: Member, list: boolean): Promise<readonly Member[] | undefined> {
        if (this.renewing) {
            return undefined;
        }
        this.renewing = true;
        try {
            await this.table.transact({ conditions: [], writes: [{ key: this.keyOf(own.id), value: own }] });
            if (!list) {
                return undefined;
            }
            const rows = await this.table.list(this.keyOf(""));
            const others = rows.filter(row => row.key !== this.keyOf(own.id));
            const expired = this.findExpired(others);
            await this.delete(expired);
            return others.filter(row => !expired.includes(row)).map(row => row.value as Member);
        }
        catch (error) {
            this.log.write(ClusterEvent.LeaseFailed, { reason: String(error) });
            return undefined;
        }
        finally {
            this.renewing = false;
        }
    }

    /** Deletes this entry's row when the entry leaves. */
    public async remove(id: string): Promise<void> {
        try {
            await this.table.transact({ conditions: [], writes: [{ key: this.keyOf(id), value: undefined }] });
        }
        catch (error) {
            this.log.write(ClusterEvent.LeaseFailed, { reason: String(error) });
        }
    }

    private findExpired(rows: readonly Row[]): readonly Row[] {
        const now = this.clock.now();
        const keys = new Set(rows.map(row => row.key));
        for (const key of [...this.observed.keys()].filter(known => !keys.has(known))) {
            this.observed.delete(key);
        }
        return rows.filter(row => {
            const before = this.observed.get(row.key);
            if (before?.revision !== row.revision) {
                this.observed.set(row.key, { revision: row.revision, since: now });
                return false;
            }
            return now - before.since > EXPIRE_MS;
        });
    }

    /** Deletes the rows, except those that their owner has written again since they were read. */
    private async delete(rows: readonly Row[]): Promise<void> {
        for (const { key, revision } of rows) {
            const deleted = await this.table.transact({
                conditions: [{ key, revision }],
                writes: [{ key, value: undefined }],
            });
            if (deleted) {
                this.log.write(ClusterEvent.LeaseExpired, { key });
            }
        }
    }

    private keyOf(id: string): string {
        return `entries/${this.region}/${id}`;
    }
}
