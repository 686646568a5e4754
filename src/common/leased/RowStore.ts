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
    /** Reads all rows of a table; rows that change meanwhile may be missing, but not from `follow` after the version. */
    read(table: string): Promise<RowsAnswer>;
    /** Reads one row; there is none in the answer when it does not exist. */
    readRow(table: string, key: string): Promise<RowsAnswer>;
    /** Waits up to `waitMs` for rows that changed after `version`. */
    follow(table: string, version: number, waitMs: number): Promise<RowsAnswer>;
    /** Writes a row, or removes it without a value; resolves with the reason when that may not have been done. */
    write(table: string, key: string, value: Buffer | undefined): Promise<string | undefined>;
}
