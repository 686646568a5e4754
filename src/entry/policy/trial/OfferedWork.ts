/** Offered work at a time, in milliseconds of work per millisecond. */
export type OfferedWork = (at: number) => number;
