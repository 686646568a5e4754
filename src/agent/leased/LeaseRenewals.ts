import type { Clock } from "../../common/Clock.js";
import { LEASE_TIMES } from "../../common/leased/LEASE_TIMES.js";
import type { LeaseRenewal } from "./LeaseRenewal.js";

/** Margin for late messages and timers after which a lease has certainly expired. */
const MARGIN_MS = 30;

/** Longest time from a poll that renews the endpoint lease until it has certainly expired. */
const LEASE_EXPIRY_MS = longestMs(LEASE_TIMES.ENDPOINT_LEASE_MS);

const NO_RENEWAL: LeaseRenewal = { sentAt: Number.NEGATIVE_INFINITY, expiredAt: Number.NEGATIVE_INFINITY };

/**
 * Calls that renew the endpoint lease, which covers all runs at the endpoint: polls, and starts, which renew it until
 * their time limit. A call without a response may have renewed the lease; a call whose connection was refused has not.
 */
export class LeaseRenewals {
    private readonly pending = new Set<LeaseRenewal>();
    private settled = NO_RENEWAL;

    constructor(private readonly clock: Clock) {}

    /** Time since the last renewal that may have arrived. */
    public get ageMs(): number {
        return this.clock.now() - this.latest.sentAt;
    }

    /** Whether the lease of runs that were last listed at `listedAt` has certainly expired. */
    public hasExpired(listedAt: number): boolean {
        const now = this.clock.now();
        return now > this.latest.expiredAt && now - listedAt > LEASE_EXPIRY_MS;
    }

    /** Records that a renewal for `leaseMs` on the endpoint's clock is sent now. */
    public begin(leaseMs: number): LeaseRenewal {
        const sentAt = this.clock.now();
        const renewal = { sentAt, expiredAt: sentAt + longestMs(leaseMs) };
        this.pending.add(renewal);
        return renewal;
    }

    /** Records the end of a call with a renewal; `refused` says whether its connection was refused. */
    public settle(renewal: LeaseRenewal, refused: boolean): void {
        this.pending.delete(renewal);
        if (!refused) {
            this.settled = latestOf([this.settled, renewal]);
        }
    }

    private get latest(): LeaseRenewal {
        return latestOf([this.settled, ...this.pending]);
    }
}

/** Longest time that a lease of `leaseMs` on the endpoint's clock takes, with the margin. */
function longestMs(leaseMs: number): number {
    return leaseMs / LEASE_TIMES.MIN_CLOCK_RATE + MARGIN_MS;
}

function latestOf(renewals: readonly LeaseRenewal[]): LeaseRenewal {
    return {
        sentAt: Math.max(...renewals.map(({ sentAt }) => sentAt)),
        expiredAt: Math.max(...renewals.map(({ expiredAt }) => expiredAt)),
    };
}
