/** Fault in a section or document, with the path of the wrong value. */
export interface ConfigurationFault {
    /** For example `services.payout.shards`. */
    readonly path: string;
    readonly message: string;
}
