import type { Clock } from "../../common/Clock.js";
import { FaultCode } from "../../common/FaultCode.js";
import type { Answer } from "../../common/job/Answer.js";
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

/** Settles tickets whose issuer is lost: fences them on their agents and collects what ran. It never starts a task. */
export class Settlement {
    private readonly active = new Map<string, Promise<Settled>>();
    private readonly sizes = new Map<string, number>();

    constructor(private readonly parts: Parts) {}

    /** Answers within `waitMs`; `taskCount` is undefined when the caller sent only the ticket. */
    public async settle(
        ticket: Ticket,
        ticketText: string,
        taskCount: number | undefined,
        waitMs: number,
    ): Promise<Answer> {
        const key = ticketKey(ticket);
        if (taskCount !== undefined) {
            this.rememberSize(key, taskCount);
        }
        const settled = await waitUpTo(this.parts.clock, this.gather(ticket), waitMs);
        return settled === undefined
            ? { ticket: ticketText, state: JobState.Running, verdict: Verdict.MayHaveRun, tasks: [] }
            : this.toAnswer(ticketText, settled, taskCount ?? this.sizes.get(key));
    }

    /** Fences the ticket on every agent of its set and collects the records; concurrent calls share one run. */
    public gather(ticket: Ticket): Promise<Settled> {
        const key = ticketKey(ticket);
        const running = this.active.get(key);
        if (running !== undefined) {
            return running;
        }
        const run = this.collect(ticket, key).finally(() => {
            this.active.delete(key);
        });
        this.active.set(key, run);
        return run;
    }

    private async collect(ticket: Ticket, key: string): Promise<Settled> {
        this.parts.stories.record(key, EntryEvent.SettlementStarted, { detail: `${ticket.agents.length} agents` });
        const until = this.parts.clock.now() + MAX_FOLLOW_MS;
        const answers = await Promise.all(ticket.agents.map(async agent => {
            const records = await new AgentRecords(this.parts.clock, this.parts.dial, ticket, agent, until).fetch();
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

    private toAnswer(ticket: string, settled: Settled, taskCount: number | undefined): Answer {
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
    return { complete: answers.every(answer => answer.complete), outcomes };
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
