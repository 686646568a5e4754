import type { FaultCode } from "../common/FaultCode.js";
import { FaultCode as Code } from "../common/FaultCode.js";
import { Verdict } from "../common/Verdict.js";
import type { Outcome } from "../common/wire/Outcome.js";
import type { TaskRecord } from "../common/wire/TaskRecord.js";

/** Estimated size of a record without its output, in bytes. */
const RECORD_BYTES = 250;

/** Estimated size of a ticket without its attempt records, in bytes. */
const TICKET_BYTES = 250;

interface AttemptRecord {
    readonly attempt: number;
    readonly repeatable: boolean;
    /** Undefined while the attempt runs. */
    outcome: Outcome | undefined;
    succeeded: boolean;
    delivered: boolean;
    bytes: number;
}

/** Records of one ticket: its fence and every attempt that was started or revoked at this agent. */
export class TicketRecords {
    public fenced = false;
    public running = 0;
    /** Digest of the submission, set by its first start. */
    public digest: string | undefined;
    public bytes = TICKET_BYTES;
    /** False after an output was dropped to stay within the byte limit. */
    public complete = true;
    /** Time of the last change, in milliseconds of the agent's clock. */
    public changedAt = 0;
    private readonly tasks = new Map<number, Map<number, AttemptRecord>>();

    constructor(
        public readonly issuer: string,
        public readonly sequence: number,
    ) {}

    public find(task: number, attempt: number): AttemptRecord | undefined {
        return this.tasks.get(task)?.get(attempt);
    }

    /** Returns the fault that prevents another attempt of `task`, or `undefined` when it may start. */
    public findConflict(task: number, repeatable: boolean): { code: FaultCode; message: string; } | undefined {
        for (const record of this.tasks.get(task)?.values() ?? []) {
            if (record.outcome === undefined) {
                return { code: Code.Duplicate, message: `attempt ${record.attempt} of the task is running` };
            }
            const mayHaveRun = record.outcome.verdict !== Verdict.NotRun;
            if (record.succeeded || (mayHaveRun && !(repeatable && record.repeatable))) {
                return { code: Code.Duplicate, message: `attempt ${record.attempt} of the task has run` };
            }
        }
        return undefined;
    }

    public begin(task: number, attempt: number, repeatable: boolean): void {
        const fresh = { outcome: undefined, succeeded: false, delivered: false, bytes: RECORD_BYTES };
        this.insert(task, { attempt, repeatable, ...fresh });
        this.running += 1;
    }

    public addTombstone(task: number, outcome: Outcome): void {
        const { attempt } = outcome;
        const tombstone = { succeeded: false, delivered: true, bytes: RECORD_BYTES };
        this.insert(task, { attempt, repeatable: true, outcome, ...tombstone });
    }

    public finish(task: number, outcome: Outcome, outputBytes: number): void {
        const record = this.find(task, outcome.attempt);
        if (record === undefined || record.outcome !== undefined) {
            throw new Error(`task ${task} attempt ${outcome.attempt} is not running`);
        }
        record.outcome = outcome;
        record.succeeded = outcome.ok;
        record.bytes += outputBytes;
        this.bytes += outputBytes;
        this.running -= 1;
    }

    public undelivered(): Outcome[] {
        const ended = this.all().filter(record => record.outcome !== undefined && !record.delivered);
        return ended.flatMap(record => record.outcome ?? []);
    }

    /**
     * The most conclusive record of each task: running, then succeeded, then ran, then may have run, then the latest
     * attempt.
     */
    public toTaskRecords(): TaskRecord[] {
        return [...this.tasks].map(([task, attempts]) => {
            const [best] = [...attempts.values()].sort((a, b) => weightOf(b) - weightOf(a) || b.attempt - a.attempt);
            return { task, attempt: best?.attempt ?? 0, outcome: best?.outcome };
        });
    }

    /** Drops the stored outputs; their tasks then count as run without a usable result. */
    public dropOutputs(): void {
        for (const record of this.all()) {
            if (record.outcome?.ok === true) {
                record.outcome = withoutOutput(record.outcome);
                this.bytes -= record.bytes - RECORD_BYTES;
                record.bytes = RECORD_BYTES;
                this.complete = false;
            }
        }
    }

    private all(): AttemptRecord[] {
        return [...this.tasks.values()].flatMap(attempts => [...attempts.values()]);
    }

    private insert(task: number, record: AttemptRecord): void {
        const attempts = this.tasks.get(task) ?? new Map<number, AttemptRecord>();
        attempts.set(record.attempt, record);
        this.tasks.set(task, attempts);
        this.bytes += record.bytes;
    }
}

function weightOf(record: AttemptRecord): number {
    if (record.outcome === undefined) {
        return 4;
    }
    if (record.succeeded) {
        return 3;
    }
    return record.outcome.verdict === Verdict.Ran ? 2 : record.outcome.verdict === Verdict.MayHaveRun ? 1 : 0;
}

function withoutOutput(outcome: Outcome): Outcome {
    const { task, attempt, verdict, runMs } = outcome;
    const error = { code: Code.RecordsLost, message: "the output was dropped to stay within the agent's byte limit" };
    return { task, attempt, verdict, ok: false, error, runMs };
}
