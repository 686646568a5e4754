/** Call that renews the endpoint lease; both times are on the agent's clock. */
export interface LeaseRenewal {
    readonly sentAt: number;
    /** Time at which the lease has certainly expired if this call is the last renewal. */
    readonly expiredAt: number;
}
