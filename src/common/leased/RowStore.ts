interface StoredRow {
    readonly key: string;
    /** Undefined when the row was deleted. */
    readonly value: Buffer | undefined;
}

/** Result of reading rows of a table from the store. */
type RowsResult =
    | { readonly kind: "rows"; readonly rows: readonly StoredRow[]; readonly version: number; }
    /** The store no longer has the requested changes; the table has to be read again. */
    | { readonly kind: "expired"; }
    /** The store did not return rows; `reason` says why. */
    | { readonly kind: "unavailable"; readonly reason: string; };

/** Client of the platform's table store. No method rejects. */
export interface RowStore {
    /**
     * Reads all rows of a table. Changes made during the read may be missing; `follow` after the returned version
     * reports them.
     */
    read(table: string): Promise<RowsResult>;
    /** Reads one row; the result has no rows when it does not exist. */
    readRow(table: string, key: string): Promise<RowsResult>;
    /** Long poll: waits up to `waitMs` for rows that have changed after `version`. */
    follow(table: string, version: number, waitMs: number): Promise<RowsResult>;
    /**
     * Writes a row, or deletes it when `value` is undefined. Resolves with undefined, or with a reason when the write
     * may not have taken effect.
     */
    write(table: string, key: string, value: Buffer | undefined): Promise<string | undefined>;
}
