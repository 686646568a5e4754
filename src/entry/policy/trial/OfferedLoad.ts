/** Offered load at a time, in milliseconds of work per millisecond. */
export type OfferedLoad = (at: number) => number;
