import { LEASE_TIMES } from "../../common/leased/LEASE_TIMES.js";
import type { EndpointLiveness } from "./EndpointLiveness.js";
import type { IncarnationTracker } from "./IncarnationTracker.js";
import type { LeaseRenewal } from "./LeaseRenewal.js";
import type { LeaseRenewals } from "./LeaseRenewals.js";

/** Renewal that is sent to the endpoint, with its end on the endpoint's clock. */
interface BegunRenewal {
    readonly untilMs: number;
    readonly renewal: LeaseRenewal;
}

/** Renewal of the endpoint lease by polls and starts: whether they renew it, and until when. */
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
     * which it renews the lease, with its record; undefined when it renews nothing.
     */
    public beginPoll(clockMs: number | undefined): BegunRenewal | undefined {
        if (clockMs === undefined || !this.pollsRenew) {
            return undefined;
        }
        const untilMs = Math.min(clockMs + LEASE_TIMES.ENDPOINT_LEASE_MS, this.limitMs);
        return { untilMs, renewal: this.renewals.begin(LEASE_TIMES.ENDPOINT_LEASE_MS) };
    }

    /**
     * Begins a renewal by a start that is sent at `clockMs` on the endpoint's clock and may take effect until
     * `startBeforeMs`.
     */
    public beginStart(clockMs: number | undefined, startBeforeMs: number): BegunRenewal {
        const untilMs = Math.min(startBeforeMs, this.limitMs);
        const leaseMs = clockMs === undefined ? LEASE_TIMES.ENDPOINT_LEASE_MS : Math.max(0, untilMs - clockMs);
        return { untilMs, renewal: this.renewals.begin(leaseMs) };
    }

    /** Records the end of a call with a renewal; `refused` says whether its connection was refused. */
    public settle(renewal: LeaseRenewal, refused: boolean): void {
        this.renewals.settle(renewal, refused);
    }

    /**
     * Whether polls renew the lease. They do not while the endpoint is lost: until it answers with a run list, its runs
     * may be those of an earlier agent process, or of tasks that were returned to their entries. Nor do they when the
     * endpoint has deregistered and the last poll failed, so that the lease expires.
     */
    private get pollsRenew(): boolean {
        return !this.liveness.isLost && !(this.incarnations.isLeaving && this.liveness.hasFailedPolls);
    }
}
