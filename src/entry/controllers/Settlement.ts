import type { Clock } from "../../common/Clock.js";
import { Fault } from "../../common/Fault.js";
import { FaultCode } from "../../common/FaultCode.js";
import type { JobAnswer } from "../../common/job/JobAnswer.js";
import { JobState } from "../../common/job/JobState.js";
import type { Ticket } from "../../common/ticket/Ticket.js";
import { Verdict } from "../../common/Verdict.js";
import type { Outcome } from "../../common/wire/Outcome.js";
import { EntryEvent } from "../EntryEvent.js";
import { buildAnswer } from "./buildAnswer.js";
import type { CollectedRecords } from "./CollectedRecords.js";
import type { Dialer } from "./Dialer.js";
import type { JobHistories } from "./JobHistories.js";
import { RecordsQuery } from "./RecordsQuery.js";
import { resultFromRecords } from "./resultFromRecords.js";
import { ticketKey } from "./ticketKey.js";
import { withTimeout } from "./withTimeout.js";

/** Longest wait for running tasks of a settled ticket; exceeds the default limit of a service's deadlines. */
const MAX_RUNNING_WAIT_MS = 610_000;

/** Maximum number of submissions whose task count is kept, so that a later status request covers every task. */
const MAX_KEPT_TASK_COUNTS = 10_000;

interface Dependencies {
    readonly clock: Clock;
    readonly dial: Dialer;
    readonly histories: JobHistories;
}

/** Request about a ticket that is settled. */
interface SettleRequest {
    /** Number of tasks of the submission; undefined when the caller sent only the ticket. */
    readonly taskCount?: number | undefined;
    /** Digest of the submission; undefined when the caller sent only the ticket. */
    readonly digest?: string | undefined;
    /** True to abort the tasks that still run. */
    readonly cancel: boolean;
}

/** One settlement in progress. */
interface ActiveSettlement {
    readonly settled: Promise<CollectedRecords>;
    readonly queries: readonly RecordsQuery[];
}

/** Settles tickets of a lost issuer: fences them on their agents and collects their records. Never starts a task. */
export class Settlement {
    private readonly active = new Map<string, ActiveSettlement>();
    private readonly taskCounts = new Map<string, number>();

    constructor(private readonly dependencies: Dependencies) {}

    /** Answers within `waitMs`. Rejects when the records belong to another submission under the same ticket. */
    public async settle(
        ticket: Ticket,
        ticketText: string,
        request: SettleRequest,
        waitMs: number,
    ): Promise<JobAnswer> {
        const { taskCount, digest, cancel } = request;
        const key = ticketKey(ticket);
        const settlement = this.startOrJoin(ticket);
        if (cancel) {
            for (const query of settlement.queries) {
                query.abort();
            }
        }
        const checked = settlement.settled.then(settled => {
            requireSameSubmission(settled, digest);
            if (taskCount !== undefined) {
                this.keepTaskCount(key, taskCount);
            }
            return settled;
        });
        const settled = await withTimeout(this.dependencies.clock, checked, waitMs);
        return settled === undefined
            ? { ticket: ticketText, state: JobState.Running, verdict: Verdict.MayHaveRun, tasks: [] }
            : this.toAnswer(ticketText, settled, taskCount ?? this.taskCounts.get(key));
    }

    /** Fences the ticket on each of its agents and collects their records; concurrent calls share one settlement. */
    public collectRecords(ticket: Ticket): Promise<CollectedRecords> {
        return this.startOrJoin(ticket).settled;
    }

    private startOrJoin(ticket: Ticket): ActiveSettlement {
        const key = ticketKey(ticket);
        const running = this.active.get(key);
        if (running !== undefined) {
            return running;
        }
        const { clock, dial } = this.dependencies;
        const until = clock.now() + MAX_RUNNING_WAIT_MS;
        const queries = ticket.agents.map(agent => new RecordsQuery(clock, dial, ticket, agent, until));
        const settled = this.collect(ticket, key, queries).finally(() => {
            this.active.delete(key);
        });
        const settlement = { settled, queries };
        this.active.set(key, settlement);
        return settlement;
    }

    private async collect(ticket: Ticket, key: string, queries: readonly RecordsQuery[]): Promise<CollectedRecords> {
        this.dependencies.histories.record(key, EntryEvent.SettlementStarted, {
            detail: `${ticket.agents.length} agents`,
        });
        const answers = await Promise.all(queries.map(async query => {
            const records = await query.fetch();
            const event = records.complete ? EntryEvent.SettlementRecords : EntryEvent.SettlementNoRecords;
            const detail = `${records.outcomes.size} tasks on record`;
            this.dependencies.histories.record(key, event, { agent: query.incarnation, detail });
            return records;
        }));
        const settled = merge(answers);
        const detail = `${settled.outcomes.size} tasks on record, ${settled.complete ? "complete" : "incomplete"}`;
        this.dependencies.histories.record(key, EntryEvent.SettlementEnded, { detail });
        return settled;
    }

    private toAnswer(ticket: string, settled: CollectedRecords, taskCount: number | undefined): JobAnswer {
        if (taskCount !== undefined) {
            const results = Array.from({ length: taskCount }, (_, task) => {
                return [task, resultFromRecords(settled, task)] as const;
            });
            return buildAnswer(ticket, results, undefined);
        }
        const known = [...settled.outcomes.keys()].sort((a, b) => a - b);
        const results = known.map(task => [task, resultFromRecords(settled, task)] as const);
        const message = "the issuer is lost and the number of tasks is unknown; submit the job again for its answer";
        const answer = buildAnswer(ticket, results, { code: FaultCode.IssuerLost, message });
        const nothingRan = settled.complete && answer.verdict === Verdict.NotRun;
        return { ...answer, verdict: nothingRan ? Verdict.NotRun : Verdict.MayHaveRun };
    }

    private keepTaskCount(key: string, taskCount: number): void {
        this.taskCounts.delete(key);
        this.taskCounts.set(key, taskCount);
        const [oldest] = this.taskCounts.keys();
        if (this.taskCounts.size > MAX_KEPT_TASK_COUNTS && oldest !== undefined) {
            this.taskCounts.delete(oldest);
        }
    }
}

/** Throws when the tasks on record belong to another submission, because no task of this one was started. */
function requireSameSubmission(settled: CollectedRecords, digest: string | undefined): void {
    if (digest !== undefined && settled.digest !== undefined && digest !== settled.digest) {
        const message = "the ticket was used for a job with a different body; no task of this submission was run";
        throw new Fault(FaultCode.TicketConflict, message);
    }
}

/**
 * Merges the records of all agents. If several agents have an attempt of a task, a success counts first, then an
 * attempt with an unknown end, a failure that ran or may have run, and a refusal; among equals, the latest attempt
 * counts.
 */
function merge(answers: readonly CollectedRecords[]): CollectedRecords {
    const outcomes = new Map<number, Outcome | undefined>();
    for (const answer of answers) {
        for (const [task, outcome] of answer.outcomes) {
            if (!outcomes.has(task) || outranks(outcome, outcomes.get(task))) {
                outcomes.set(task, outcome);
            }
        }
    }
    const digest = answers.find(answer => answer.digest !== undefined)?.digest;
    return { complete: answers.every(answer => answer.complete), digest, outcomes };
}

function outranks(a: Outcome | undefined, b: Outcome | undefined): boolean {
    return rank(a) - rank(b) > 0 || rank(a) === rank(b) && (a?.attempt ?? 0) > (b?.attempt ?? 0);
}

function rank(outcome: Outcome | undefined): number {
    if (outcome === undefined) {
        return 2;
    }
    if (outcome.ok) {
        return 3;
    }
    return outcome.verdict === Verdict.NotRun ? 0 : 1;
}
