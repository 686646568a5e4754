/** One value that differs between two sections. */
export interface Difference {
    /** Such as `services.payout.shards`; empty for the whole section. */
    readonly path: string;
    /** Absent when the value was added. */
    readonly before?: unknown;
    /** Absent when the value was removed. */
    readonly after?: unknown;
}
