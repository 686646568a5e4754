/** Options of the load tool as parsed by commander. */
export interface BenchOptions {
    readonly profile: string;
    readonly scenario: string;
    readonly scheduler: readonly string[];
    readonly seed: number;
    /** Path of the file to which the reports are written as JSON. */
    readonly report?: string;
    /** Base URLs of running entries; without them a deployment is started in this process. */
    readonly entry?: readonly string[];
    /** Caller token of each team as `TEAM=TOKEN`; used with `entry` only. */
    readonly token?: readonly string[];
}
