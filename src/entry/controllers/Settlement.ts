import type { Clock } from "../../common/Clock.js";
import { Fault } from "../../common/Fault.js";
import { FaultCode } from "../../common/FaultCode.js";
import type { JobAnswer } from "../../common/job/JobAnswer.js";
import { JobState } from "../../common/job/JobState.js";
import type { Ticket } from "../../common/ticket/Ticket.js";
import { Verdict } from "../../common/Verdict.js";
import type { Outcome } from "../../common/wire/Outcome.js";
import { EntryEvent } from "../EntryEvent.js";
import { AgentRecords } from "./AgentRecords.js";
import { buildAnswer } from "./buildAnswer.js";
import type { Dialer } from "./Dialer.js";
import type { Settled } from "./Settled.js";
import { settledResult } from "./settledResult.js";
import type { Stories } from "./Stories.js";
import { ticketKey } from "./ticketKey.js";
import { waitUpTo } from "./waitUpTo.js";

/** Longest time that running tasks of a settled ticket are followed; no deadline is longer than this. */
const MAX_FOLLOW_MS = 610_000;

/** Submissions whose number of tasks is remembered, so that a later status request can be answered in full. */
const MAX_KNOWN_SIZES = 10_000;

interface Parts {
    readonly clock: Clock;
    readonly dial: Dialer;
    readonly stories: Stories;
}

/** What the caller of a settled ticket asks for. */
interface Question {
    /** Number of tasks of the submission; undefined when the caller sent only the ticket. */
    readonly taskCount?: number | undefined;
    /** Digest of the submission; undefined when the caller sent only the ticket. */
    readonly digest?: string | undefined;
    /** True to abort the tasks that still run. */
    readonly cancel: boolean;
}

/** One settlement in progress. */
interface Run {
    readonly settled: Promise<Settled>;
    readonly agents: readonly AgentRecords[];
}

/** Settles tickets whose issuer is lost: fences them on their agents and collects what ran. It never starts a task. */
export class Settlement {
    private readonly active = new Map<string, Run>();
    private readonly sizes = new Map<string, number>();

    constructor(private readonly parts: Parts) {}

    /** Answers within `waitMs`, or rejects when the records belong to another submission under the same ticket. */
    public async settle(ticket: Ticket, ticketText: string, question: Question, waitMs: number): Promise<JobAnswer> {
        const { taskCount, digest, cancel } = question;
        const key = ticketKey(ticket);
        const run = this.begin(ticket);
        if (cancel) {
            for (const agent of run.agents) {
                agent.abort();
            }
        }
        const checked = run.settled.then(settled => {
            refuseOther(settled, digest);
            if (taskCount !== undefined) {
                this.rememberSize(key, taskCount);
            }
            return settled;
        });
        const settled = await waitUpTo(this.parts.clock, checked, waitMs);
        return settled === undefined
            ? { ticket: ticketText, state: JobState.Running, verdict: Verdict.MayHaveRun, tasks: [] }
            : this.toAnswer(ticketText, settled, taskCount ?? this.sizes.get(key));
    }

    /** Fences the ticket on every agent of its set and collects the records; concurrent calls share one run. */
    public gather(ticket: Ticket): Promise<Settled> {
        return this.begin(ticket).settled;
    }

    private begin(ticket: Ticket): Run {
        const key = ticketKey(ticket);
        const running = this.active.get(key);
        if (running !== undefined) {
            return running;
        }
        const { clock, dial } = this.parts;
        const until = clock.now() + MAX_FOLLOW_MS;
        const agents = ticket.agents.map(agent => new AgentRecords(clock, dial, ticket, agent, until));
        const settled = this.collect(ticket, key, agents).finally(() => {
            this.active.delete(key);
        });
        const run = { settled, agents };
        this.active.set(key, run);
        return run;
    }

    private async collect(ticket: Ticket, key: string, agents: readonly AgentRecords[]): Promise<Settled> {
        this.parts.stories.record(key, EntryEvent.SettlementStarted, { detail: `${ticket.agents.length} agents` });
        const answers = await Promise.all(agents.map(async agent => {
            const records = await agent.fetch();
            const event = records.complete ? EntryEvent.SettlementRecords : EntryEvent.SettlementNoRecords;
            const detail = `${records.outcomes.size} tasks on record`;
            this.parts.stories.record(key, event, { agent: agent.incarnation, detail });
            return records;
        }));
        const settled = merge(answers);
        const detail = `${settled.outcomes.size} tasks on record, ${settled.complete ? "complete" : "incomplete"}`;
        this.parts.stories.record(key, EntryEvent.SettlementEnded, { detail });
        return settled;
    }

    private toAnswer(ticket: string, settled: Settled, taskCount: number | undefined): JobAnswer {
        if (taskCount !== undefined) {
            const results = Array.from({ length: taskCount }, (_, task) => {
                return [task, settledResult(settled, task)] as const;
            });
            return buildAnswer(ticket, results, undefined);
        }
        const known = [...settled.outcomes.keys()].sort((a, b) => a - b);
        const results = known.map(task => [task, settledResult(settled, task)] as const);
        const message = "the issuer is lost and the number of tasks is unknown; submit the job again for its answer";
        const answer = buildAnswer(ticket, results, { code: FaultCode.IssuerLost, message });
        const nothingRan = settled.complete && answer.verdict === Verdict.NotRun;
        return { ...answer, verdict: nothingRan ? Verdict.NotRun : Verdict.MayHaveRun };
    }

    private rememberSize(key: string, taskCount: number): void {
        this.sizes.delete(key);
        this.sizes.set(key, taskCount);
        const [oldest] = this.sizes.keys();
        if (this.sizes.size > MAX_KNOWN_SIZES && oldest !== undefined) {
            this.sizes.delete(oldest);
        }
    }
}

/** Throws when the tasks on record belong to another submission; nothing of this one was started. */
function refuseOther(settled: Settled, digest: string | undefined): void {
    if (digest !== undefined && settled.digest !== undefined && digest !== settled.digest) {
        const message = "the ticket belongs to a job with another body; nothing of this body was run";
        throw new Fault(FaultCode.TicketConflict, message);
    }
}

/** One task may have attempts on several agents; the result that ran counts, then the latest attempt. */
function merge(answers: readonly Settled[]): Settled {
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
