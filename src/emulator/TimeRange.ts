/** Range from which a time is drawn, in milliseconds. */
export interface TimeRange {
    readonly leastMs: number;
    readonly mostMs: number;
}
