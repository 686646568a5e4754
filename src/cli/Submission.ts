import { type Either, Left, Right } from "purify-ts/Either";
import type { Clock } from "../common/Clock.js";
import { FaultCode } from "../common/FaultCode.js";
import type { AnswerBody } from "./AnswerBody.js";
import type { EntryClient } from "./EntryClient.js";
import type { EntryError } from "./EntryError.js";

/** Longest wait of one long poll in milliseconds; a progress line follows each poll. */
const POLL_WAIT_MS = 2000;
/** Pause in milliseconds after every entry was tried without success. */
const RETRY_PAUSE_MS = 250;
/** Time in milliseconds after the job's deadline during which its answer is still requested. */
const ANSWER_GRACE_MS = 5000;

/** Job to submit, without its ticket. */
interface Job {
    readonly service: string;
    readonly deadlineMs: number;
    readonly tasks: readonly unknown[];
    readonly onFailure?: string | undefined;
}

type Progress = (line: string) => void;

/**
 * Submits one job under one ticket and waits for its answer. When an entry does not respond, the same ticket and body go
 * to the next entry, which joins the job or settles the ticket; no task is started twice under one ticket.
 */
export class Submission {
    private current = 0;

    constructor(
        private readonly clients: readonly Pick<EntryClient, "baseUrl" | "tickets" | "submit" | "job">[],
        private readonly clock: Clock,
        private readonly progress: Progress,
    ) {}

    /** Returns the answer and its ticket, a refusal, or the last error when no entry responded in time. */
    public async run(
        job: Job,
        givenTicket?: string,
    ): Promise<Either<EntryError, { readonly ticket: string; readonly answer: AnswerBody; }>> {
        const limitAt = this.clock.now() + job.deadlineMs + ANSWER_GRACE_MS;
        const ticket = givenTicket === undefined
            ? await this.tryEntries(limitAt, client => client.tickets(job.service, 1))
            : Right<readonly string[], EntryError>([givenTicket]);
        if (ticket.isLeft()) {
            return Left(ticket.extract());
        }
        const [name = ""] = ticket.orDefault([]);
        this.progress(`submitting under ticket ${name}`);
        const body = { ticket: name, ...job };
        const answer = await this.tryEntries(limitAt, client => this.submitAndWait(client, name, body, limitAt));
        return answer.map(value => ({ ticket: name, answer: value }));
    }

    private async submitAndWait(
        client: Pick<EntryClient, "baseUrl" | "submit" | "job">,
        ticket: string,
        body: Readonly<Record<string, unknown>>,
        limitAt: number,
    ): Promise<Either<EntryError, AnswerBody>> {
        const startedAt = this.clock.now();
        let answer = await client.submit(body);
        while (isRunning(answer) && this.clock.now() < limitAt) {
            answer = await client.job(ticket, POLL_WAIT_MS);
            if (isRunning(answer)) {
                const ended = answer.map(({ progress }) => formatProgress(progress)).orDefault("");
                this.progress(`running for ${Math.round((this.clock.now() - startedAt) / 1000)} s${ended}`);
            }
        }
        return answer;
    }

    /** Tries the entries in turn until one responds with a result or a refusal, or until `limitAt`. */
    private async tryEntries<T>(
        limitAt: number,
        call: (client: (typeof this.clients)[number]) => Promise<Either<EntryError, T>>,
    ): Promise<Either<EntryError, T>> {
        for (let tries = 1;; tries += 1) {
            const client = this.clients[this.current % this.clients.length];
            if (client === undefined) {
                throw new RangeError("a submission needs at least one entry");
            }
            const result = await call(client);
            const error = result.swap().toMaybe().extract();
            if (error === undefined || !shouldTryNextEntry(error) || this.clock.now() >= limitAt) {
                return result;
            }
            this.current += 1;
            this.progress(`${client.baseUrl}: ${error.message}; trying the next entry`);
            if (tries % this.clients.length === 0) {
                await this.pause();
            }
        }
    }

    private pause(): Promise<void> {
        return new Promise(resolve => this.clock.schedule(RETRY_PAUSE_MS, resolve));
    }
}

function formatProgress(progress: AnswerBody["progress"]): string {
    return progress === undefined ? "" : `, ${progress.ended} of ${progress.tasks} tasks ended`;
}

function isRunning(answer: Either<EntryError, AnswerBody>): boolean {
    return answer.map(value => value.state === "running").orDefault(false);
}

function shouldTryNextEntry(error: EntryError): boolean {
    return error.unreachable || error.code === FaultCode.Draining || error.retryAfterMs === 0;
}
