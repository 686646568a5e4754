import type { RowStore } from "../common/leased/RowStore.js";

/** In-memory store of single rows, without a history to follow. */
export class MemoryRowStore implements RowStore {
    private readonly rows = new Map<string, Buffer>();

    public read(): ReturnType<RowStore["read"]> {
        return Promise.resolve({ kind: "unavailable", reason: "only single rows are stored" });
    }

    public follow(): ReturnType<RowStore["follow"]> {
        return Promise.resolve({ kind: "unavailable", reason: "only single rows are stored" });
    }

    public readRow(table: string, key: string): ReturnType<RowStore["readRow"]> {
        const value = this.rows.get(`${table}/${key}`);
        return Promise.resolve({ kind: "rows", rows: value === undefined ? [] : [{ key, value }], version: 1 });
    }

    public write(table: string, key: string, value: Buffer | undefined): ReturnType<RowStore["write"]> {
        if (value === undefined) {
            this.rows.delete(`${table}/${key}`);
        }
        else {
            this.rows.set(`${table}/${key}`, value);
        }
        return Promise.resolve(undefined);
    }
}
