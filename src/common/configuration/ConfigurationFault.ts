/** Fault of a section or document, with the path of the wrong value. */
export interface ConfigurationFault {
    /** Such as `services.payout.shards`. */
    readonly path: string;
    readonly message: string;
}
