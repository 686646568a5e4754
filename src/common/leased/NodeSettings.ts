interface ListenAddress {
    readonly host: string;
    readonly port: number;
}

/** Settings of a process in a deployment with leased endpoints. */
export interface NodeSettings {
    readonly id: string;
    readonly region: string;
    readonly failureDomain: string;
    /** Address where agents connect to an entry. */
    readonly wire: ListenAddress;
    /** Address where an entry listens for agents; differs from `wire` when a proxy is in between. */
    readonly wireListen: ListenAddress;
    /** Address where callers connect; undefined on an agent. */
    readonly callers: ListenAddress | undefined;
    /** Address of the readiness check; undefined on an agent. */
    readonly readiness: ListenAddress | undefined;
    /** Address where the endpoint on this VM announces itself; undefined on an entry. */
    readonly announcements: ListenAddress | undefined;
    /** `ip:port` of the endpoint on this VM; undefined on an entry. */
    readonly endpoint: string | undefined;
    /** Address of the metrics page. */
    readonly metrics: ListenAddress;
    /** `ip:port` of entries that may already be running. */
    readonly seeds: readonly string[];
    /** `ip:port` of the platform's store. */
    readonly store: string;
    /** Time between SIGTERM and SIGKILL, in milliseconds. */
    readonly graceMs: number;
}
