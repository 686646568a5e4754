/** Running deployment that a load run sends jobs to. */
export interface LoadTarget {
    readonly service: string;
    /** Base URLs of the entries. */
    readonly entries: readonly string[];
    /** Caller token of each team. */
    readonly tokens: ReadonlyMap<string, string>;
}
