import { Agent, request } from "undici";
import { FaultCode } from "../common/FaultCode.js";
import type { JobAnswer } from "../common/job/JobAnswer.js";
import { JobState } from "../common/job/JobState.js";
import { Verdict } from "../common/Verdict.js";
import type { Execution } from "./Execution.js";
import { JobOutcome } from "./JobOutcome.js";
import type { JobResult } from "./JobResult.js";
import type { LoadTarget } from "./LoadTarget.js";
import type { PlannedJob } from "./PlannedJob.js";

const TICKET_BATCH = 100;
const RESUBMISSION_PAUSE_MS = 200;

/** Time after the deadline during which an answer is still accepted, and timeout of a request for tickets. */
const GRACE_MS = 5000;

const UNUSABLE_TICKET_CODES: ReadonlySet<string> = new Set([
    FaultCode.IssuerLost,
    FaultCode.IssuerFenced,
    FaultCode.TicketExpired,
    FaultCode.NoAgents,
    FaultCode.Draining,
]);

interface HttpReply {
    readonly status: number;
    readonly body: unknown;
}

type JobEnd = Pick<JobResult, "ticket" | "outcome" | "code" | "resubmissions" | "verdicts" | "executions">;

/** Client of a load run: prefetches tickets, submits jobs to the entries in turn, and resubmits when an entry fails. */
export class LoadClient {
    private readonly dispatcher = new Agent({ connections: null, pipelining: 1, headersTimeout: 0, bodyTimeout: 0 });
    private readonly tickets = new Map<string, string[]>();
    private readonly fetches = new Map<string, Promise<void>>();
    private requestCount = 0;

    constructor(private readonly target: LoadTarget) {}

    /** Submits a job and waits for its answer; `arrivedAt` is its planned arrival on the `performance.now()` clock. */
    public async submit(job: PlannedJob, arrivedAt: number, deadlineMs: number): Promise<JobResult> {
        const sentAt = performance.now();
        const end = await this.run(job, deadlineMs);
        const answeredAt = performance.now();
        return {
            job,
            ...end,
            responseMs: answeredAt - arrivedAt,
            answerMs: answeredAt - sentAt,
            lagMs: sentAt - arrivedAt,
        };
    }

    /** Fetches the first tickets of each team, so that this does not delay the first jobs. */
    public async prepare(): Promise<void> {
        await Promise.all([...this.target.tokens.keys()].map(team => this.fetchTickets(team)));
    }

    public async close(): Promise<void> {
        await this.dispatcher.destroy();
    }

    private async run(job: PlannedJob, deadlineMs: number): Promise<JobEnd> {
        const giveUpAt = performance.now() + deadlineMs + GRACE_MS;
        let resubmissions = 0;
        let ticket: string | undefined;
        while (performance.now() < giveUpAt) {
            try {
                ticket ??= await this.takeTicket(job.team);
                const reply = await this.post(job.team, "/v1/jobs", this.bodyOf(job, ticket, deadlineMs), giveUpAt);
                if (!needsNewTicket(reply)) {
                    return { ticket, resubmissions, ...toJobEnd(reply) };
                }
                this.tickets.delete(job.team);
                ticket = undefined;
            }
            catch {
                // The entry failed or issued no tickets. The same ticket may be submitted again through another entry.
            }
            resubmissions += 1;
            await new Promise(resolve => setTimeout(resolve, RESUBMISSION_PAUSE_MS));
        }
        return { ticket, outcome: JobOutcome.Lost, code: undefined, resubmissions, verdicts: [], executions: [] };
    }

    private bodyOf(job: PlannedJob, ticket: string, deadlineMs: number): unknown {
        return {
            ticket,
            service: this.target.service,
            deadlineMs,
            wait: true,
            tasks: job.tasks.map(task => ({
                payload: { runMs: task.runMs, timed: true },
                sizeMs: task.declaredMs,
                repeatable: task.repeatable,
            })),
        };
    }

    private async takeTicket(team: string): Promise<string> {
        const available = this.tickets.get(team) ?? [];
        if (available.length < TICKET_BATCH / 2) {
            const fetched = this.fetchTickets(team);
            if (available.length === 0) {
                await fetched;
            }
            else {
                fetched.catch(() => undefined);
            }
        }
        const ticket = this.tickets.get(team)?.shift();
        if (ticket === undefined) {
            throw new Error(`no ticket left for team ${team}`);
        }
        return ticket;
    }

    private fetchTickets(team: string): Promise<void> {
        const pending = this.fetches.get(team);
        if (pending !== undefined) {
            return pending;
        }
        const fetched = this.requestTickets(team).finally(() => this.fetches.delete(team));
        this.fetches.set(team, fetched);
        return fetched;
    }

    private async requestTickets(team: string): Promise<void> {
        const body = { service: this.target.service, count: TICKET_BATCH };
        const reply = await this.post(team, "/v1/tickets", body, performance.now() + GRACE_MS);
        const { tickets } = reply.body as { readonly tickets?: readonly string[]; };
        if (tickets === undefined) {
            throw new Error(`tickets for team ${team} refused with HTTP status ${reply.status}`);
        }
        // Older tickets name agents that may have stopped, so a new batch replaces the rest of the previous one.
        this.tickets.set(team, [...tickets]);
    }

    private async post(team: string, path: string, body: unknown, giveUpAt: number): Promise<HttpReply> {
        this.requestCount += 1;
        const entry = this.target.entries[this.requestCount % this.target.entries.length] ?? "";
        const response = await request(entry + path, {
            dispatcher: this.dispatcher,
            method: "POST",
            headers: {
                "content-type": "application/json",
                "authorization": `Bearer ${this.target.tokens.get(team) ?? ""}`,
            },
            body: JSON.stringify(body),
            signal: AbortSignal.timeout(Math.max(1, Math.ceil(giveUpAt - performance.now()))),
        });
        return { status: response.statusCode, body: await response.body.json() };
    }
}

/** Returns whether no task was run because the ticket is no longer usable, so that the job needs a new ticket. */
function needsNewTicket(reply: HttpReply): boolean {
    const answer = reply.body as JobAnswer & { readonly error?: { readonly code: string; }; };
    const code = answer.error?.code ?? answer.reason?.code ?? "";
    return answer.verdict === Verdict.NotRun && UNUSABLE_TICKET_CODES.has(code);
}

function toJobEnd(reply: HttpReply): Omit<JobEnd, "ticket" | "resubmissions"> {
    const answer = reply.body as JobAnswer & { readonly error?: { readonly code: string; }; };
    if (answer.error !== undefined) {
        const refused = answer.verdict === Verdict.NotRun;
        const outcome = refused ? JobOutcome.Refused : JobOutcome.Failed;
        return { outcome, code: answer.error.code, verdicts: [], executions: [] };
    }
    if (answer.state === JobState.Complete) {
        const executions = answer.tasks.map(task => ({
            task: task.index,
            ...(task.output as Omit<Execution, "task">),
        }));
        return { outcome: JobOutcome.Complete, code: undefined, verdicts: [], executions };
    }
    const verdicts = answer.tasks.map(task => task.verdict);
    return { outcome: JobOutcome.Failed, code: answer.reason?.code, verdicts, executions: [] };
}
