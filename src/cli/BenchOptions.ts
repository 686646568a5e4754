/** Options of the load tool as commander hands them over. */
export interface BenchOptions {
    readonly profile: string;
    readonly scenario: string;
    readonly scheduler: readonly string[];
    readonly seed: number;
    /** File for the JSON reports. */
    readonly report?: string;
    /** Base URLs of entries that run already. */
    readonly entry?: readonly string[];
    /** `TEAM=TOKEN` for each team, with `entry`. */
    readonly token?: readonly string[];
}
