/** Row of a table in the table service. */
export interface Row {
    readonly key: string;
    /** JSON value. */
    readonly value: unknown;
    /** Increases with each write of the row, starting at 1. */
    readonly revision: number;
}
