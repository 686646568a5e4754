/** Summary of measured times in milliseconds. */
export interface Distribution {
    readonly count: number;
    readonly mean: number;
    readonly p50: number;
    readonly p99: number;
    readonly max: number;
}
