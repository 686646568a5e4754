import { type Either, Left, Right } from "purify-ts/Either";
import { request } from "undici";
import * as z from "zod/mini";
import { Verdict } from "../common/Verdict.js";
import { AnswerBody } from "./AnswerBody.js";
import { ChangeOutcome } from "./ChangeOutcome.js";
import type { EntryError } from "./EntryError.js";
import { errorBody } from "./errorBody.js";
import { JobHistoryBody } from "./JobHistoryBody.js";

const DEFAULT_TIMEOUT_MS = 10_000;
const FIRST_ERROR_STATUS = 400;
const FIRST_SERVER_ERROR_STATUS = 500;

const ticketsBody = z.object({ tickets: z.array(z.string()).check(z.minLength(1)) });

interface Call {
    readonly method: "GET" | "POST" | "PUT" | "DELETE";
    readonly path: string;
    readonly body?: unknown;
    readonly headers?: Readonly<Record<string, string>>;
    /** Time in milliseconds that the entry may wait before it responds; it is added to the client's timeout. */
    readonly waitMs?: number;
}

/** HTTP client for the API of one entry. */
export class EntryClient {
    constructor(
        public readonly baseUrl: string,
        private readonly token: string,
        private readonly timeoutMs: number = DEFAULT_TIMEOUT_MS,
    ) {}

    public tickets(service: string, count: number): Promise<Either<EntryError, readonly string[]>> {
        const call: Call = { method: "POST", path: "/v1/tickets", body: { service, count } };
        return this.callAndParse(call, z.pipe(ticketsBody, z.transform(body => body.tickets)));
    }

    /** Submits a job without waiting for it to finish. */
    public submit(job: Readonly<Record<string, unknown>>): Promise<Either<EntryError, AnswerBody>> {
        return this.callAndParse({ method: "POST", path: "/v1/jobs", body: { ...job, wait: false } }, acceptedBody);
    }

    public job(ticket: string, waitMs: number): Promise<Either<EntryError, AnswerBody>> {
        return this.callAndParse({ method: "GET", path: `/v1/jobs/${ticket}?waitMs=${waitMs}`, waitMs }, AnswerBody);
    }

    public cancel(ticket: string): Promise<Either<EntryError, unknown>> {
        return this.call({ method: "DELETE", path: `/v1/jobs/${ticket}` });
    }

    public jobHistory(ticket: string): Promise<Either<EntryError, JobHistoryBody>> {
        return this.callAndParse({ method: "GET", path: `/v1/jobs/${ticket}/story` }, JobHistoryBody);
    }

    public configuration(): Promise<Either<EntryError, unknown>> {
        return this.call({ method: "GET", path: "/v1/config" });
    }

    public section(team: string): Promise<Either<EntryError, unknown>> {
        return this.call({ method: "GET", path: `/v1/config/sections/${encodeURIComponent(team)}` });
    }

    /** Replaces a section if `revision` is still its revision; 0 creates a new section. */
    public putSection(team: string, section: unknown, revision: number): Promise<Either<EntryError, unknown>> {
        const path = `/v1/config/sections/${encodeURIComponent(team)}`;
        return this.call({ method: "PUT", path, body: section, headers: { "if-match": `"${revision}"` } });
    }

    /** Returns the outcome of a change whose error response had a token. */
    public changeOutcome(token: string): Promise<Either<EntryError, ChangeOutcome>> {
        return this.callAndParse(
            { method: "GET", path: `/v1/config/tokens/${encodeURIComponent(token)}` },
            ChangeOutcome,
        );
    }

    public checkConfiguration(section: unknown): Promise<Either<EntryError, unknown>> {
        return this.call({ method: "POST", path: "/v1/config/check", body: section });
    }

    public configurationStatus(): Promise<Either<EntryError, unknown>> {
        return this.call({ method: "GET", path: "/v1/config/status" });
    }

    public members(): Promise<Either<EntryError, unknown>> {
        return this.call({ method: "GET", path: "/v1/members" });
    }

    public services(): Promise<Either<EntryError, unknown>> {
        return this.call({ method: "GET", path: "/v1/services" });
    }

    public drain(): Promise<Either<EntryError, unknown>> {
        return this.call({ method: "POST", path: "/v1/drain" });
    }

    private async callAndParse<T extends z.ZodMiniType>(
        call: Call,
        schema: T,
    ): Promise<Either<EntryError, z.infer<T>>> {
        return (await this.call(call)).chain(body => {
            const parsed = schema.safeParse(body);
            return parsed.success
                ? Right(parsed.data)
                : Left(unreachable(`response to ${call.method} ${call.path} does not match the expected schema`));
        });
    }

    private async call(call: Call): Promise<Either<EntryError, unknown>> {
        try {
            const limitMs = this.timeoutMs + (call.waitMs ?? 0);
            const response = await request(new URL(call.path, this.baseUrl), {
                method: call.method,
                headers: {
                    ...call.headers,
                    authorization: `Bearer ${this.token}`,
                    ...(call.body === undefined ? {} : { "content-type": "application/json" }),
                },
                body: call.body === undefined ? undefined : JSON.stringify(call.body),
                headersTimeout: limitMs,
                bodyTimeout: limitMs,
                signal: AbortSignal.timeout(limitMs),
            });
            const text = await response.body.text();
            const body: unknown = text === "" ? undefined : JSON.parse(text);
            return response.statusCode < FIRST_ERROR_STATUS ? Right(body) : Left(toError(response.statusCode, body));
        }
        catch (error) {
            return Left(unreachable(`no valid response from ${this.baseUrl}: ${(error as Error).message}`));
        }
    }
}

/** The response for an accepted job may have its ticket only. */
const acceptedBody = z.union([
    AnswerBody,
    z.pipe(
        z.object({ ticket: z.string() }),
        z.transform((body): AnswerBody => ({ ...body, state: "running", verdict: Verdict.MayHaveRun, tasks: [] })),
    ),
]);

function unreachable(message: string): EntryError {
    return { unreachable: true, code: "unreachable", message, verdict: Verdict.MayHaveRun };
}

function toError(status: number, body: unknown): EntryError {
    const parsed = errorBody.safeParse(body);
    if (!parsed.success) {
        const failed = status >= FIRST_SERVER_ERROR_STATUS;
        return { ...unreachable(`HTTP status ${status} without an error body`), unreachable: failed, status };
    }
    const { error, verdict, token, retryAfterMs } = parsed.data;
    return { unreachable: false, status, ...error, verdict, token, retryAfterMs };
}
