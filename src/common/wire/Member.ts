/** Row of an entry in the membership table, as gossiped between entries and sent to agents. */
export interface Member {
    readonly id: string;
    /** `ip:port` of the entry's listener. */
    readonly address: string;
    readonly incarnation: string;
    readonly region: string;
    readonly failureDomain: string;
    /** Increases with each heartbeat; a row with a higher counter replaces one with a lower counter. */
    readonly counter: number;
    readonly draining: boolean;
    /** Configuration revision in force at this entry, 0 for none. */
    readonly revision: number;
}
