import type { Clock } from "../../common/Clock.js";
import { Fault } from "../../common/Fault.js";
import { FaultCode } from "../../common/FaultCode.js";
import { Verdict } from "../../common/Verdict.js";

const UNUSED_LIFETIME_MS = 600_000;

/** Used numbers stay known for another lifetime, so that a late submission gets a precise verdict. */
const KNOWN_MS = 2 * UNUSED_LIFETIME_MS;

interface Batch {
    readonly last: number;
    readonly issuedAt: number;
}

/** Sequence numbers of one issuer incarnation: issued, used, expired and forgotten. */
export class TicketLedger {
    public static readonly lifetimeMs = UNUSED_LIFETIME_MS;
    private readonly used = new Set<number>();
    private batches: Batch[] = [];
    private next = 1;
    /** Numbers below it may not be started any more. */
    private lowWater = 1;
    /** Numbers below it may have been used; nothing more is known of them. */
    private forgotten = 1;

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
        if (sequence < this.forgotten || this.used.has(sequence)) {
            return new Fault(FaultCode.TicketExpired, "the answer of this ticket is gone", Verdict.MayHaveRun);
        }
        if (sequence < this.lowWater) {
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
            this.lowWater = Math.max(this.lowWater, batch.last + 1);
            if (batch.issuedAt + KNOWN_MS <= now) {
                this.forget(batch);
            }
        }
        this.batches = this.batches.filter(batch => batch.last >= this.forgotten);
    }

    private forget(batch: Batch): void {
        for (let sequence = this.forgotten; sequence <= batch.last; sequence++) {
            this.used.delete(sequence);
        }
        this.forgotten = batch.last + 1;
    }
}
