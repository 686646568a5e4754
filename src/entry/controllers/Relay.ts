import type { Clock } from "../../common/Clock.js";
import { Fault } from "../../common/Fault.js";
import { FaultCode } from "../../common/FaultCode.js";
import type { JobAnswer } from "../../common/job/JobAnswer.js";
import type { JobHistoryEntry } from "../../common/job/JobHistoryEntry.js";
import type { JobRequest } from "../../common/job/JobRequest.js";
import { JobState } from "../../common/job/JobState.js";
import type { Ticket } from "../../common/ticket/Ticket.js";
import type { TicketCodec } from "../../common/ticket/TicketCodec.js";
import { Verdict } from "../../common/Verdict.js";
import { EntryEvent } from "../EntryEvent.js";
import type { EntryIdentity } from "../EntryIdentity.js";
import type { PeerCalls } from "../PeerCalls.js";
import type { IssuerWatch } from "./IssuerWatch.js";
import { Job } from "./Job.js";
import { Jobs } from "./Jobs.js";
import type { Settlement } from "./Settlement.js";
import type { Stories } from "./Stories.js";
import { ticketKey } from "./ticketKey.js";
import { waitUpTo } from "./waitUpTo.js";

/** An issuer that does not answer for this long is lost. */
const ISSUER_TIMEOUT_MS = 2000;

/** Longest wait asked of an issuer in one call, so that a lost issuer is noticed within this time plus the timeout. */
const WAIT_SLICE_MS = 2000;

/** The same for an issuer that is a live member: its loss is noticed by gossip, so asking often would waste messages. */
const LIVE_WAIT_SLICE_MS = 30_000;

/** A settlement that only collects records ends within this time, so that even a caller that does not wait sees it. */
const MIN_SETTLE_WAIT_MS = 500;

/** Added to a wait for a final answer, so that the job's own time limit fires first. */
const WAIT_MARGIN_MS = 500;

const SUBMIT = "job.submit";
const WAIT = "job.wait";
const CANCEL = "job.cancel";
const STORY = "job.story";

interface Parts {
    readonly clock: Clock;
    readonly identity: EntryIdentity;
    readonly peers: PeerCalls;
    readonly codec: TicketCodec;
    readonly jobs: Jobs;
    readonly settlement: Settlement;
    readonly stories: Stories;
    readonly issuers: IssuerWatch;
}

/** Body of the calls between entries. */
interface Ask {
    readonly ticket: string;
    readonly request?: JobRequest | undefined;
    readonly waitMs: number;
}

/** Brings each request about a ticket to its issuer, or settles the ticket when the issuer is lost. */
export class Relay {
    constructor(private readonly parts: Parts) {
        const { peers } = parts;
        peers.serve(SUBMIT, body => this.submitHere(body as Ask));
        peers.serve(WAIT, body => this.waitHere(body as Ask));
        peers.serve(CANCEL, body => this.cancelHere(body as Ask));
        peers.serve(STORY, body => Promise.resolve(this.storyHere(body as Ask)));
    }

    /** Submits a job and waits up to `waitMs` for its answer; the answer says `running` when it is not final. */
    public submit(request: JobRequest, waitMs: number): Promise<JobAnswer> {
        const limitMs = Math.min(waitMs, request.deadlineMs + Jobs.graceMs + WAIT_MARGIN_MS);
        const ask = { ticket: request.ticket, request, waitMs: limitMs };
        return this.ask(SUBMIT, ask, request.team, () => this.submitHere(ask));
    }

    /** State of a job, after waiting up to `waitMs` for its end. */
    public status(ticket: string, team: string | undefined, waitMs: number): Promise<JobAnswer> {
        const ask = { ticket, waitMs };
        return this.ask(WAIT, ask, team, () => this.waitHere(ask));
    }

    /** Cancels a job and returns its state. */
    public cancel(ticket: string, team: string | undefined): Promise<JobAnswer> {
        const ask = { ticket, waitMs: 0 };
        return this.ask(CANCEL, ask, team, () => this.cancelHere(ask));
    }

    /** Steps of a job; when its issuer is lost, the steps of this entry's settlement. */
    public async story(ticket: string, team: string | undefined): Promise<readonly JobHistoryEntry[]> {
        const decoded = this.decode(ticket, team);
        const ask = { ticket, waitMs: 0 };
        if (this.isOwn(decoded)) {
            return this.storyHere(ask);
        }
        const { address, issuer } = decoded;
        const remote = this.parts.peers.call(address, issuer, STORY, ask, ISSUER_TIMEOUT_MS);
        const steps = await remote.catch((error: unknown) => {
            if (isLost(error)) {
                return [];
            }
            throw error;
        });
        return [...steps as readonly JobHistoryEntry[], ...this.parts.stories.get(ticketKey(decoded)) ?? []];
    }

    private async ask(
        method: string,
        ask: Ask,
        team: string | undefined,
        local: () => Promise<JobAnswer>,
    ): Promise<JobAnswer> {
        const ticket = this.decode(ask.ticket, team);
        if (this.isOwn(ticket)) {
            return local();
        }
        const until = this.parts.clock.now() + ask.waitMs;
        if (ticket.address === this.parts.identity.current.address) {
            return this.settle(ticket, method, ask, until);
        }
        const detail = `${method} to ${ticket.address}`;
        this.parts.stories.record(ticketKey(ticket), EntryEvent.JobRelayed, { detail });
        try {
            return await this.follow(ticket, method, ask, until);
        }
        catch (error) {
            if (!isLost(error)) {
                throw error;
            }
            return this.settle(ticket, method, ask, until);
        }
    }

    private settle(ticket: Ticket, method: string, ask: Ask, until: number): Promise<JobAnswer> {
        const { request } = ask;
        const question = {
            taskCount: request?.tasks.length,
            digest: request === undefined ? undefined : Job.digest(request),
            cancel: method === CANCEL,
        };
        const waitMs = Math.max(MIN_SETTLE_WAIT_MS, until - this.parts.clock.now());
        return this.parts.settlement.settle(ticket, ask.ticket, question, waitMs);
    }

    /** Calls the issuer, then asks again in slices until the job is final or the time is over. */
    private async follow(ticket: Ticket, method: string, ask: Ask, until: number): Promise<JobAnswer> {
        let answer = await this.callIssuer(ticket, method, { ...ask, waitMs: this.slice(ticket, until) });
        while (answer.state === JobState.Running && this.parts.clock.now() < until) {
            answer = await this.callIssuer(ticket, WAIT, { ticket: ask.ticket, waitMs: this.slice(ticket, until) });
        }
        return answer;
    }

    private async callIssuer(ticket: Ticket, method: string, ask: Ask): Promise<JobAnswer> {
        const timeoutMs = ask.waitMs + ISSUER_TIMEOUT_MS;
        const call = this.parts.peers.call(ticket.address, ticket.issuer, method, ask, timeoutMs);
        return await this.parts.issuers.whileLive(ticket.issuer, call).catch((error: unknown) => {
            throw error instanceof Fault && error.code === FaultCode.Overloaded && method !== SUBMIT
                ? toMayHaveRun(error)
                : error;
        }) as JobAnswer;
    }

    private slice(ticket: Ticket, until: number): number {
        const longestMs = this.parts.issuers.isLive(ticket.issuer) ? LIVE_WAIT_SLICE_MS : WAIT_SLICE_MS;
        return Math.max(0, Math.min(longestMs, until - this.parts.clock.now()));
    }

    private decode(text: string, team: string | undefined): Ticket {
        const ticket = this.parts.codec.decode(text).caseOf({
            Left: fault => {
                throw fault;
            },
            Right: valid => valid,
        });
        if (team !== undefined && ticket.team !== team) {
            throw new Fault(FaultCode.Forbidden, "the ticket belongs to another team");
        }
        return ticket;
    }

    /** True for the current incarnation, and for jobs of an earlier incarnation that this process still knows. */
    private isOwn(ticket: Ticket): boolean {
        return ticket.issuer === this.parts.identity.current.incarnation
            || this.parts.jobs.find(ticketKey(ticket)) !== undefined;
    }

    private submitHere(ask: Ask): Promise<JobAnswer> {
        if (ask.request === undefined) {
            return Promise.reject(new Fault(FaultCode.Protocol, "job.submit has no request"));
        }
        return this.parts.jobs.submit(this.decode(ask.ticket, undefined), ask.request).caseOf({
            Left: fault => Promise.reject(fault),
            Right: job => this.waitFor(job, ask.waitMs),
        });
    }

    private async waitHere(ask: Ask): Promise<JobAnswer> {
        return this.waitFor(this.findHere(ask), ask.waitMs);
    }

    private async cancelHere(ask: Ask): Promise<JobAnswer> {
        const job = this.findHere(ask);
        this.parts.jobs.cancel(job);
        return this.waitFor(job, ask.waitMs);
    }

    private storyHere(ask: Ask): readonly JobHistoryEntry[] {
        const story = this.parts.stories.get(ticketKey(this.decode(ask.ticket, undefined)));
        if (story === undefined) {
            throw new Fault(FaultCode.NotFound, "no story is kept for this ticket");
        }
        return story;
    }

    private findHere(ask: Ask): Job {
        const ticket = this.decode(ask.ticket, undefined);
        const job = this.parts.jobs.find(ticketKey(ticket));
        if (job === undefined) {
            throw this.parts.jobs.absence(ticket);
        }
        return job;
    }

    private async waitFor(job: Job, waitMs: number): Promise<JobAnswer> {
        if (job.finished || waitMs <= 0) {
            return job.answer;
        }
        return await waitUpTo(this.parts.clock, job.done, waitMs) ?? job.answer;
    }
}

/** A question about a job that was not passed on says nothing about what the job has run. */
function toMayHaveRun({ code, message, retryAfterMs }: Fault): Fault {
    return new Fault(code, message, Verdict.MayHaveRun, retryAfterMs);
}

function isLost(error: unknown): boolean {
    return error instanceof Fault && (error.code === FaultCode.IssuerLost || error.code === FaultCode.Timeout);
}
