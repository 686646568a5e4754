import type { Clock } from "../common/Clock.js";
import { FaultCode } from "../common/FaultCode.js";
import { Verdict } from "../common/Verdict.js";
import type { Outcome } from "../common/wire/Outcome.js";
import type { TaskRecord } from "../common/wire/TaskRecord.js";
import type { AttemptKey } from "./AttemptKey.js";
import { SequenceRanges } from "./SequenceRanges.js";
import type { StartDecision } from "./StartDecision.js";
import { TicketRecords } from "./TicketRecords.js";

/** Records of a ticket as returned by `settle`. */
interface Settlement {
    readonly complete: boolean;
    readonly digest: string | undefined;
    readonly tasks: readonly TaskRecord[];
}

/**
 * Records of the attempts and tickets that this agent incarnation has started, revoked and fenced. They decide whether
 * an attempt may start, and are bounded in bytes and age. Tickets with running tasks are never dropped. Dropping a
 * ticket makes later results of `settle` for it incomplete, and dropping a fence fences its issuer for good.
 */
export class AttemptRecords {
    /** Tickets by issuer and sequence, least recently changed first. */
    private readonly tickets = new Map<string, TicketRecords>();
    private readonly dropped = new Map<string, SequenceRanges>();
    private readonly fencedIssuers = new Set<string>();
    private bytes = 0;

    constructor(
        private readonly clock: Clock,
        private readonly maxBytes: number,
        private readonly retentionMs: number,
    ) {}

    /** Estimated size of the records, in bytes. */
    public get size(): number {
        return this.bytes;
    }

    public isIssuerFenced(issuer: string): boolean {
        return this.fencedIssuers.has(issuer);
    }

    /** Decides from fences and earlier attempts whether a `start` is allowed; changes nothing. */
    public decideStart(key: AttemptKey, repeatable: boolean): StartDecision {
        const { issuer, sequence, task, attempt } = key;
        if (this.fencedIssuers.has(issuer)) {
            return refuse(FaultCode.IssuerFenced, `issuer ${issuer} is fenced`);
        }
        const ticket = this.tickets.get(idOf(issuer, sequence));
        if (ticket?.fenced === true) {
            return refuse(FaultCode.TicketFenced, `ticket ${sequence} is fenced`);
        }
        const record = ticket?.find(task, attempt);
        if (record !== undefined) {
            return record.outcome === undefined ? { kind: "running" } : { kind: "repeat", outcome: record.outcome };
        }
        if (this.wasDropped(issuer, sequence)) {
            const message = `records of ticket ${sequence} were dropped`;
            return { kind: "refuse", code: FaultCode.RecordsLost, verdict: Verdict.MayHaveRun, message };
        }
        const conflict = ticket?.findConflict(task, repeatable);
        return conflict === undefined ? { kind: "start" } : refuse(conflict.code, conflict.message);
    }

    /**
     * Records a start. Must be called only after `decideStart` has returned `start`, and before the endpoint is called.
     */
    public begin(key: AttemptKey, repeatable: boolean, digest: string): void {
        this.change(key.issuer, key.sequence, ticket => {
            ticket.digest ??= digest;
            ticket.begin(key.task, key.attempt, repeatable);
        });
    }

    /** Records the end of a running attempt. */
    public finish(key: AttemptKey, outcome: Outcome, outputBytes: number): void {
        this.change(key.issuer, key.sequence, ticket => {
            ticket.finish(key.task, outcome, outputBytes);
        });
    }

    /** Returns the outcome of an attempt, or `undefined` while it runs; an unknown attempt can never start afterwards. */
    public revoke(key: AttemptKey): Outcome | undefined {
        const record = this.tickets.get(idOf(key.issuer, key.sequence))?.find(key.task, key.attempt);
        if (record !== undefined) {
            return record.outcome;
        }
        if (this.wasDropped(key.issuer, key.sequence)) {
            return withoutRun(key, Verdict.MayHaveRun, FaultCode.RecordsLost, "records of the ticket were dropped");
        }
        const outcome = withoutRun(key, Verdict.NotRun, FaultCode.Revoked, "the attempt was revoked before its start");
        this.change(key.issuer, key.sequence, ticket => {
            ticket.addTombstone(key.task, outcome);
        });
        return outcome;
    }

    /** Fences a ticket, then returns its records. */
    public settle(issuer: string, sequence: number): Settlement {
        let settlement: Settlement = { complete: false, digest: undefined, tasks: [] };
        this.change(issuer, sequence, ticket => {
            ticket.fenced = true;
            const complete = ticket.complete && !this.wasDropped(issuer, sequence);
            settlement = { complete, digest: ticket.digest, tasks: ticket.toTaskRecords() };
        });
        return settlement;
    }

    /** Finished attempts of an issuer, or of all issuers, whose outcome no channel has accepted yet. */
    public undelivered(issuer?: string): { key: AttemptKey; outcome: Outcome; }[] {
        const tickets = [...this.tickets.values()].filter(ticket => issuer === undefined || ticket.issuer === issuer);
        return tickets.flatMap(ticket =>
            ticket.undelivered().map(outcome => {
                const { task, attempt } = outcome;
                return { key: { issuer: ticket.issuer, sequence: ticket.sequence, task, attempt }, outcome };
            })
        );
    }

    public markDelivered(key: AttemptKey): void {
        const record = this.tickets.get(idOf(key.issuer, key.sequence))?.find(key.task, key.attempt);
        if (record !== undefined) {
            record.delivered = true;
        }
    }

    /** Drops records that exceed the age or byte limit. */
    public sweep(): void {
        const oldest = this.clock.now() - this.retentionMs;
        for (const [id, ticket] of this.tickets) {
            const overAge = ticket.changedAt <= oldest;
            if (!overAge && this.bytes <= this.maxBytes) {
                return;
            }
            if (ticket.running === 0) {
                this.drop(id, ticket);
            }
            else if (this.bytes > this.maxBytes) {
                this.bytes -= ticket.bytes;
                ticket.dropOutputs();
                this.bytes += ticket.bytes;
            }
        }
    }

    private change(issuer: string, sequence: number, action: (ticket: TicketRecords) => void): void {
        const id = idOf(issuer, sequence);
        const ticket = this.tickets.get(id) ?? new TicketRecords(issuer, sequence);
        const before = this.tickets.delete(id) ? ticket.bytes : 0;
        action(ticket);
        ticket.changedAt = this.clock.now();
        this.tickets.set(id, ticket);
        this.bytes += ticket.bytes - before;
        if (this.bytes > this.maxBytes) {
            this.sweep();
        }
    }

    private drop(id: string, ticket: TicketRecords): void {
        const ranges = this.dropped.get(ticket.issuer) ?? new SequenceRanges();
        ranges.add(ticket.sequence);
        this.dropped.set(ticket.issuer, ranges);
        if (ticket.fenced) {
            this.fencedIssuers.add(ticket.issuer);
        }
        this.tickets.delete(id);
        this.bytes -= ticket.bytes;
    }

    private wasDropped(issuer: string, sequence: number): boolean {
        return this.dropped.get(issuer)?.has(sequence) === true;
    }
}

function idOf(issuer: string, sequence: number): string {
    return `${issuer}:${sequence}`;
}

function refuse(code: FaultCode, message: string): StartDecision {
    return { kind: "refuse", code, verdict: Verdict.NotRun, message };
}

function withoutRun(key: AttemptKey, verdict: Verdict, code: FaultCode, message: string): Outcome {
    return { task: key.task, attempt: key.attempt, verdict, ok: false, error: { code, message }, runMs: 0 };
}
