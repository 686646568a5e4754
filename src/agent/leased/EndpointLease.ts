import { LEASE_TIMES } from "../../common/leased/LEASE_TIMES.js";
import type { EndpointLiveness } from "./EndpointLiveness.js";
import type { IncarnationTracker } from "./IncarnationTracker.js";
import type { LeaseRenewals } from "./LeaseRenewals.js";

/** Renewal of the endpoint lease by polls: whether they renew it, and until when. */
export class EndpointLease {
    private limit = (): number => Number.POSITIVE_INFINITY;

    constructor(
        private readonly incarnations: IncarnationTracker,
        private readonly liveness: EndpointLiveness,
        private readonly renewals: LeaseRenewals,
    ) {}

    /** Time on the endpoint's clock beyond which the lease is not renewed. */
    public get limitMs(): number {
        return this.limit();
    }

    /** Sets the function that returns the limit of the lease. */
    public setLimit(limit: () => number): void {
        this.limit = limit;
    }

    /**
     * Begins a renewal by a poll that is sent at `clockMs` on the endpoint's clock. Returns the time on that clock until
     * which it renews the lease; undefined when it renews nothing.
     */
    public beginRenewal(clockMs: number | undefined): number | undefined {
        if (clockMs === undefined || !this.isRenewed) {
            return undefined;
        }
        this.renewals.begin();
        return Math.min(clockMs + LEASE_TIMES.ENDPOINT_LEASE_MS, this.limitMs);
    }

    /** Records the end of the poll that was sent with a renewal at `sentAt`. */
    public settleRenewal(sentAt: number, refused: boolean): void {
        this.renewals.settle(sentAt, refused);
    }

    /**
     * Whether polls renew the lease. Until a list has shown which runs are there, they may be those of an earlier agent
     * process, or have been returned. An endpoint that leaves and no longer answers gets no renewals, so that its last
     * lease expires.
     */
    private get isRenewed(): boolean {
        return !this.liveness.isLost && !(this.incarnations.isLeaving && this.liveness.hasFailedPolls);
    }
}
