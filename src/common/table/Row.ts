/** Row of the table service. */
export interface Row {
    readonly key: string;
    /** JSON value. */
    readonly value: unknown;
    /** Grows with each write of the row, from 1. */
    readonly revision: number;
}
