import type { Clock } from "../../common/Clock.js";
import { LEASE_TIMES } from "../../common/leased/LEASE_TIMES.js";

/**
 * Time after the last renewal that may have arrived until the endpoint lease has certainly expired: its length on the
 * slowest clock, plus a margin.
 */
const LEASE_EXPIRY_MS = LEASE_TIMES.ENDPOINT_LEASE_MS / LEASE_TIMES.MIN_CLOCK_RATE + 30;

/** Polls that renew the endpoint lease. One that is not answered may have renewed it; one that is refused has not. */
export class LeaseRenewals {
    private readonly pending: number[] = [];
    private renewedAt = Number.NEGATIVE_INFINITY;

    constructor(private readonly clock: Clock) {}

    /** Time since the last renewal that may have arrived. */
    public get ageMs(): number {
        return this.clock.now() - Math.max(this.renewedAt, ...this.pending);
    }

    /** Whether the lease of runs that were last listed at `listedAt` has certainly expired. */
    public hasExpired(listedAt: number): boolean {
        return Math.min(this.ageMs, this.clock.now() - listedAt) > LEASE_EXPIRY_MS;
    }

    /** Records that a renewal is sent now. */
    public begin(): void {
        this.pending.push(this.clock.now());
    }

    /** Records the end of the call that was sent with a renewal at `sentAt`. */
    public settle(sentAt: number, refused: boolean): void {
        this.pending.splice(this.pending.indexOf(sentAt), 1);
        if (!refused) {
            this.renewedAt = Math.max(this.renewedAt, sentAt);
        }
    }
}
