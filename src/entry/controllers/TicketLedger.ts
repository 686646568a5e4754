import type { Clock } from "../../common/Clock.js";
import { Fault } from "../../common/Fault.js";
import { FaultCode } from "../../common/FaultCode.js";
import { Verdict } from "../../common/Verdict.js";

const UNUSED_LIFETIME_MS = 600_000;

/** Used numbers are tracked for another lifetime, so that a late submission gets a precise verdict. */
const TRACKED_MS = 2 * UNUSED_LIFETIME_MS;

interface Batch {
    readonly last: number;
    readonly issuedAt: number;
}

/** Tracks which sequence numbers of one issuer incarnation are issued, used, expired, or no longer tracked. */
export class TicketLedger {
    public static readonly lifetimeMs = UNUSED_LIFETIME_MS;
    private readonly used = new Set<number>();
    private batches: Batch[] = [];
    private next = 1;
    /** Unused numbers below this one have expired. */
    private usableFrom = 1;
    /** Numbers below this one are no longer tracked; they may have been used. */
    private trackedFrom = 1;

    constructor(private readonly clock: Clock) {}

    /** Returns the first number of a new batch. */
    public issue(count: number): number {
        this.sweep();
        const first = this.next;
        this.next += count;
        this.batches.push({ last: this.next - 1, issuedAt: this.clock.now() });
        return first;
    }

    /** Returns the reason why the number may not be used, or undefined when it may. */
    public refusal(sequence: number): Fault | undefined {
        this.sweep();
        if (sequence < this.trackedFrom || this.used.has(sequence)) {
            return new Fault(
                FaultCode.TicketExpired,
                "the answer for this ticket is no longer kept",
                Verdict.MayHaveRun,
            );
        }
        if (sequence < this.usableFrom) {
            return new Fault(FaultCode.TicketExpired, "the ticket expired unused; get a new one");
        }
        if (sequence >= this.next) {
            return new Fault(FaultCode.TicketInvalid, "the ticket's sequence number was never issued");
        }
        return undefined;
    }

    public use(sequence: number): void {
        this.used.add(sequence);
    }

    private sweep(): void {
        const now = this.clock.now();
        for (const batch of this.batches) {
            if (batch.issuedAt + UNUSED_LIFETIME_MS > now) {
                break;
            }
            this.usableFrom = Math.max(this.usableFrom, batch.last + 1);
            if (batch.issuedAt + TRACKED_MS <= now) {
                this.stopTracking(batch);
            }
        }
        this.batches = this.batches.filter(batch => batch.last >= this.trackedFrom);
    }

    private stopTracking(batch: Batch): void {
        for (let sequence = this.trackedFrom; sequence <= batch.last; sequence++) {
            this.used.delete(sequence);
        }
        this.trackedFrom = batch.last + 1;
    }
}
