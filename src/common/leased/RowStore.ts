interface StoredRow {
    readonly key: string;
    /** Undefined when the row was removed. */
    readonly value: Buffer | undefined;
}

/** Answer of the store about the rows of a table. */
type RowsAnswer =
    | { readonly kind: "rows"; readonly rows: readonly StoredRow[]; readonly version: number; }
    /** The changes asked for are no longer kept; the table has to be read again. */
    | { readonly kind: "expired"; }
    /** Nothing is known; `reason` says why. */
    | { readonly kind: "unavailable"; readonly reason: string; };

/** The platform's table store. No method rejects. */
export interface RowStore {
    /** Reads all rows of a table as of one moment. */
    read(table: string): Promise<RowsAnswer>;
    /** Waits up to `waitMs` for rows that changed after `version`. */
    follow(table: string, version: number, waitMs: number): Promise<RowsAnswer>;
    /** Writes a row; resolves with the reason when it may not have been written. */
    write(table: string, key: string, value: Buffer): Promise<string | undefined>;
}
