interface ListenAddress {
    readonly host: string;
    readonly port: number;
}

/** What a process of a deployment with leased endpoints learns from its settings. */
export interface NodeSettings {
    readonly id: string;
    readonly region: string;
    readonly failureDomain: string;
    /** Where agents connect to an entry. */
    readonly wire: ListenAddress;
    /** Where an entry listens for agents; another address than `wire` while a proxy stands between. */
    readonly wireListen: ListenAddress;
    /** Where callers connect; undefined on an agent. */
    readonly callers: ListenAddress | undefined;
    /** Where readiness is asked for; undefined on an agent. */
    readonly readiness: ListenAddress | undefined;
    /** Where the endpoint on this VM announces itself; undefined on an entry. */
    readonly announcements: ListenAddress | undefined;
    /** `ip:port` of the endpoint on this VM; undefined on an entry. */
    readonly endpoint: string | undefined;
    /** Where metrics are served. */
    readonly metrics: ListenAddress;
    /** `ip:port` of entries that may be there already. */
    readonly seeds: readonly string[];
    /** `ip:port` of the platform's store. */
    readonly store: string;
    /** Time between SIGTERM and SIGKILL, in milliseconds. */
    readonly graceMs: number;
}
