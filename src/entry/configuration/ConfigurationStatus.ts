/** Configuration revisions in force in the store, at the entries and at the agents. */
export interface ConfigurationStatus {
    /** Highest known revision: of the store, of this entry and of the processes listed below. */
    readonly newest: number;
    /** Revision of the store when it was last read; absent when it was never read. */
    readonly stored?: number | undefined;
    /** Milliseconds since the store was last read. */
    readonly storedAgeMs?: number | undefined;
    readonly entries: readonly ReplicaRevision[];
    /** Agents attached to this entry. */
    readonly agents: readonly ReplicaRevision[];
    /** Ids of entries and agents whose revision is lower than `newest`. */
    readonly lagging: readonly string[];
}

interface ReplicaRevision {
    readonly id: string;
    readonly revision: number;
}
