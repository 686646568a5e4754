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
import type { IssuerLiveness } from "./IssuerLiveness.js";
import { Job } from "./Job.js";
import type { JobHistories } from "./JobHistories.js";
import { Jobs } from "./Jobs.js";
import type { Settlement } from "./Settlement.js";
import { ticketKey } from "./ticketKey.js";
import { withTimeout } from "./withTimeout.js";

/** An issuer that does not answer a call within this time is considered lost. */
const ISSUER_TIMEOUT_MS = 2000;

/** Longest wait in one call to an issuer, so that its loss is detected within this time plus the timeout. */
const WAIT_SLICE_MS = 2000;

/** The same for an issuer that is a live member: gossip detects its loss, so frequent calls would waste messages. */
const LIVE_WAIT_SLICE_MS = 30_000;

/** Minimum wait for a settlement: one that only collects records ends within it, so every caller gets it. */
const MIN_SETTLE_WAIT_MS = 500;

/** Added to a wait for a final answer, so that the job's own time limit fires first. */
const WAIT_MARGIN_MS = 500;

const SUBMIT = "job.submit";
const WAIT = "job.wait";
const CANCEL = "job.cancel";
const HISTORY = "job.story";

interface Dependencies {
    readonly clock: Clock;
    readonly identity: EntryIdentity;
    readonly peers: PeerCalls;
    readonly codec: TicketCodec;
    readonly jobs: Jobs;
    readonly settlement: Settlement;
    readonly histories: JobHistories;
    readonly issuers: IssuerLiveness;
}

/** Body of a call to the issuer. */
interface RelayedRequest {
    readonly ticket: string;
    readonly request?: JobRequest | undefined;
    readonly waitMs: number;
}

/** Forwards each request about a ticket to the ticket's issuer, or settles the ticket when the issuer is lost. */
export class IssuerRelay {
    constructor(private readonly dependencies: Dependencies) {
        const { peers } = dependencies;
        peers.serve(SUBMIT, body => this.submitHere(body as RelayedRequest));
        peers.serve(WAIT, body => this.waitHere(body as RelayedRequest));
        peers.serve(CANCEL, body => this.cancelHere(body as RelayedRequest));
        peers.serve(HISTORY, body => Promise.resolve(this.historyHere(body as RelayedRequest)));
    }

    /** Submits a job and waits up to `waitMs` for its final answer; until then the state of the answer is `running`. */
    public submit(request: JobRequest, waitMs: number): Promise<JobAnswer> {
        const limitMs = Math.min(waitMs, request.deadlineMs + Jobs.graceMs + WAIT_MARGIN_MS);
        const body = { ticket: request.ticket, request, waitMs: limitMs };
        return this.route(SUBMIT, body, request.team, () => this.submitHere(body));
    }

    /** State of a job, after waiting up to `waitMs` for its end. */
    public status(ticket: string, team: string | undefined, waitMs: number): Promise<JobAnswer> {
        const body = { ticket, waitMs };
        return this.route(WAIT, body, team, () => this.waitHere(body));
    }

    /** Cancels a job and returns its state. */
    public cancel(ticket: string, team: string | undefined): Promise<JobAnswer> {
        const body = { ticket, waitMs: 0 };
        return this.route(CANCEL, body, team, () => this.cancelHere(body));
    }

    /** History of a job: the issuer's steps, unless it is lost, then the steps recorded here, such as a settlement. */
    public async history(ticket: string, team: string | undefined): Promise<readonly JobHistoryEntry[]> {
        const decoded = this.decode(ticket, team);
        const body = { ticket, waitMs: 0 };
        if (this.isOwn(decoded)) {
            return this.historyHere(body);
        }
        const { address, issuer } = decoded;
        const remote = this.dependencies.peers.call(address, issuer, HISTORY, body, ISSUER_TIMEOUT_MS);
        const steps = await remote.catch((error: unknown) => {
            if (isIssuerLost(error)) {
                return [];
            }
            throw error;
        });
        return [...steps as readonly JobHistoryEntry[], ...this.dependencies.histories.get(ticketKey(decoded)) ?? []];
    }

    private async route(
        method: string,
        body: RelayedRequest,
        team: string | undefined,
        local: () => Promise<JobAnswer>,
    ): Promise<JobAnswer> {
        const ticket = this.decode(body.ticket, team);
        if (this.isOwn(ticket)) {
            return local();
        }
        const until = this.dependencies.clock.now() + body.waitMs;
        if (ticket.address === this.dependencies.identity.current.address) {
            return this.settle(ticket, method, body, until);
        }
        const detail = `${method} to ${ticket.address}`;
        this.dependencies.histories.record(ticketKey(ticket), EntryEvent.JobRelayed, { detail });
        try {
            return await this.callUntilFinal(ticket, method, body, until);
        }
        catch (error) {
            if (!isIssuerLost(error)) {
                throw error;
            }
            return this.settle(ticket, method, body, until);
        }
    }

    private settle(ticket: Ticket, method: string, body: RelayedRequest, until: number): Promise<JobAnswer> {
        const { request } = body;
        const settleRequest = {
            taskCount: request?.tasks.length,
            digest: request === undefined ? undefined : Job.digest(request),
            cancel: method === CANCEL,
        };
        const waitMs = Math.max(MIN_SETTLE_WAIT_MS, until - this.dependencies.clock.now());
        return this.dependencies.settlement.settle(ticket, body.ticket, settleRequest, waitMs);
    }

    /** Calls the issuer, then waits in further calls until the answer is final or the time has passed. */
    private async callUntilFinal(
        ticket: Ticket,
        method: string,
        body: RelayedRequest,
        until: number,
    ): Promise<JobAnswer> {
        let answer = await this.callIssuer(ticket, method, { ...body, waitMs: this.nextWaitMs(ticket, until) });
        while (answer.state === JobState.Running && this.dependencies.clock.now() < until) {
            answer = await this.callIssuer(ticket, WAIT, {
                ticket: body.ticket,
                waitMs: this.nextWaitMs(ticket, until),
            });
        }
        return answer;
    }

    private async callIssuer(ticket: Ticket, method: string, body: RelayedRequest): Promise<JobAnswer> {
        const timeoutMs = body.waitMs + ISSUER_TIMEOUT_MS;
        const call = this.dependencies.peers.call(ticket.address, ticket.issuer, method, body, timeoutMs);
        return await this.dependencies.issuers.whileLive(ticket.issuer, call).catch((error: unknown) => {
            throw error instanceof Fault && error.code === FaultCode.Overloaded && method !== SUBMIT
                ? toMayHaveRun(error)
                : error;
        }) as JobAnswer;
    }

    private nextWaitMs(ticket: Ticket, until: number): number {
        const longestMs = this.dependencies.issuers.isLive(ticket.issuer) ? LIVE_WAIT_SLICE_MS : WAIT_SLICE_MS;
        return Math.max(0, Math.min(longestMs, until - this.dependencies.clock.now()));
    }

    private decode(text: string, team: string | undefined): Ticket {
        const ticket = this.dependencies.codec.decode(text).caseOf({
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

    /** True for tickets of the current incarnation, and for those of an earlier one whose job is still known here. */
    private isOwn(ticket: Ticket): boolean {
        return ticket.issuer === this.dependencies.identity.current.incarnation
            || this.dependencies.jobs.find(ticketKey(ticket)) !== undefined;
    }

    private submitHere(body: RelayedRequest): Promise<JobAnswer> {
        if (body.request === undefined) {
            return Promise.reject(new Fault(FaultCode.Protocol, "job.submit has no request"));
        }
        return this.dependencies.jobs.submit(this.decode(body.ticket, undefined), body.request).caseOf({
            Left: fault => Promise.reject(fault),
            Right: job => this.waitFor(job, body.waitMs),
        });
    }

    private async waitHere(body: RelayedRequest): Promise<JobAnswer> {
        return this.waitFor(this.findHere(body), body.waitMs);
    }

    private async cancelHere(body: RelayedRequest): Promise<JobAnswer> {
        const job = this.findHere(body);
        this.dependencies.jobs.cancel(job);
        return this.waitFor(job, body.waitMs);
    }

    private historyHere(body: RelayedRequest): readonly JobHistoryEntry[] {
        const history = this.dependencies.histories.get(ticketKey(this.decode(body.ticket, undefined)));
        if (history === undefined) {
            throw new Fault(FaultCode.NotFound, "no history is kept for this ticket");
        }
        return history;
    }

    private findHere(body: RelayedRequest): Job {
        const ticket = this.decode(body.ticket, undefined);
        const job = this.dependencies.jobs.find(ticketKey(ticket));
        if (job === undefined) {
            throw this.dependencies.jobs.absenceFault(ticket);
        }
        return job;
    }

    private async waitFor(job: Job, waitMs: number): Promise<JobAnswer> {
        if (job.finished || waitMs <= 0) {
            return job.answer;
        }
        return await withTimeout(this.dependencies.clock, job.done, waitMs) ?? job.answer;
    }
}

/** A status or cancel call that the issuer did not handle does not tell whether tasks of the job have run. */
function toMayHaveRun({ code, message, retryAfterMs }: Fault): Fault {
    return new Fault(code, message, Verdict.MayHaveRun, retryAfterMs);
}

function isIssuerLost(error: unknown): boolean {
    return error instanceof Fault && (error.code === FaultCode.IssuerLost || error.code === FaultCode.Timeout);
}
