/** Which configuration revision is in force where. */
export interface ConfigurationStatus {
    /** Highest revision known: of the store, of this entry and of the processes below. */
    readonly newest: number;
    /** Revision of the store when it was last read; absent when it was never read. */
    readonly stored?: number | undefined;
    /** Milliseconds since the store was last read. */
    readonly storedAgeMs?: number | undefined;
    readonly entries: readonly Holder[];
    /** Agents attached to this entry. */
    readonly agents: readonly Holder[];
    /** Ids of entries and agents whose revision is lower than `newest`. */
    readonly lagging: readonly string[];
}

interface Holder {
    readonly id: string;
    readonly revision: number;
}
