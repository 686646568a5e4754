import { Pool } from "undici";
import type { Clock } from "../common/Clock.js";
import { FaultCode } from "../common/FaultCode.js";
import { findJsonFault } from "../common/findJsonFault.js";
import { Verdict } from "../common/Verdict.js";
import type { MessageOf } from "../common/wire/MessageOf.js";
import type { Outcome } from "../common/wire/Outcome.js";
import type { CallResult } from "./CallResult.js";
import type { EndpointDeclaration } from "./EndpointDeclaration.js";

/** Largest output of one task; an outcome must fit into a frame of 4 MiB together with its other fields. */
const MAX_OUTPUT_BYTES = 1024 * 1024;

const CONNECT_TIMEOUT_MS = 1000;
const NOT_RUN_HEADER = "x-waxwingshunt-not-run";
const STATUS_UNAVAILABLE = 503;

type Start = MessageOf<"start">;
type Failure = Pick<Outcome, "verdict" | "error">;

/** HTTP client of one endpoint, with a pool of at most the connections that the endpoint declared. */
export class EndpointHttpClient {
    private readonly pool: Pool;
    private readonly path: string;

    constructor(
        endpoint: EndpointDeclaration,
        private readonly clock: Clock,
    ) {
        const url = new URL(endpoint.url);
        this.path = url.pathname + url.search;
        this.pool = new Pool(url.origin, {
            connections: endpoint.connections,
            pipelining: 1,
            connectTimeout: CONNECT_TIMEOUT_MS,
            headersTimeout: 0,
            bodyTimeout: 0,
        });
    }

    /** Runs one attempt at the endpoint; never rejects. `cancelled` aborts the request. */
    public async call(start: Start, cancelled: AbortSignal): Promise<CallResult> {
        const begun = this.clock.now();
        const deadline = new AbortController();
        const cancelTimer = this.clock.schedule(start.budgetMs, () => {
            deadline.abort();
        });
        try {
            return await this.request(start, AbortSignal.any([cancelled, deadline.signal]), begun);
        }
        catch (error) {
            const failure = failureOf(error, cancelled.aborted, deadline.signal.aborted);
            return this.failed(start, failure, begun);
        }
        finally {
            cancelTimer();
        }
    }

    /** Closes idle connections now and the others when their requests have ended. */
    public close(): Promise<void> {
        return this.pool.close();
    }

    /** Aborts every request. */
    public destroy(): Promise<void> {
        return this.pool.destroy();
    }

    private async request(start: Start, signal: AbortSignal, begun: number): Promise<CallResult> {
        const response = await this.pool.request({
            method: "POST",
            path: this.path,
            headers: headersOf(start),
            body: JSON.stringify(start.payload ?? null),
            signal,
        });
        const body = await readBody(response.body);
        if (body === undefined) {
            const message = `output exceeds the limit of ${MAX_OUTPUT_BYTES} bytes`;
            return this.failed(start, { verdict: Verdict.Ran, error: { code: FaultCode.TooLarge, message } }, begun);
        }
        const status = response.statusCode;
        if (status === STATUS_UNAVAILABLE && response.headers[NOT_RUN_HEADER] === "true") {
            return this.failed(start, unreachable("endpoint answered that the task was not run"), begun);
        }
        if (status < 200 || status > 299) {
            const error = { code: FaultCode.EndpointFailed, message: `endpoint answered with status ${status}` };
            return this.failed(start, { verdict: Verdict.Ran, error }, begun);
        }
        return this.succeeded(start, body, begun);
    }

    private succeeded(start: Start, body: string, begun: number): CallResult {
        const { task, attempt } = start;
        try {
            const fault = findJsonFault(body);
            if (fault !== undefined) {
                const error = { code: FaultCode.EndpointFailed, message: `endpoint's output rejected: ${fault}` };
                return this.failed(start, { verdict: Verdict.Ran, error }, begun);
            }
            const output: unknown = body === "" ? undefined : JSON.parse(body);
            const runMs = this.clock.now() - begun;
            return {
                outcome: { task, attempt, verdict: Verdict.Ran, ok: true, output, runMs },
                outputBytes: body.length,
            };
        }
        catch {
            const error = { code: FaultCode.EndpointFailed, message: "endpoint answered with a body that is not JSON" };
            return this.failed(start, { verdict: Verdict.Ran, error }, begun);
        }
    }

    private failed(start: Start, failure: Failure, begun: number): CallResult {
        const { task, attempt } = start;
        const runMs = failure.verdict === Verdict.NotRun ? 0 : this.clock.now() - begun;
        return { outcome: { task, attempt, ok: false, ...failure, runMs }, outputBytes: 0 };
    }
}

function headersOf(start: Start): Record<string, string> {
    return {
        "content-type": "application/json",
        "x-waxwingshunt-issuer": start.issuer,
        "x-waxwingshunt-sequence": String(start.sequence),
        "x-waxwingshunt-task": String(start.task),
        "x-waxwingshunt-attempt": String(start.attempt),
        "x-waxwingshunt-budget-ms": String(Math.max(0, Math.floor(start.budgetMs))),
    };
}

/** Returns the body as text, or `undefined` when it exceeds the limit. */
async function readBody(body: AsyncIterable<Uint8Array>): Promise<string | undefined> {
    const chunks: Uint8Array[] = [];
    let bytes = 0;
    for await (const chunk of body) {
        bytes += chunk.length;
        if (bytes > MAX_OUTPUT_BYTES) {
            return undefined;
        }
        chunks.push(chunk);
    }
    return Buffer.concat(chunks).toString("utf8");
}

/**
 * Classifies a failed request: one that failed before its connection was open was never sent; any other one may have
 * run.
 */
function failureOf(error: unknown, cancelled: boolean, expired: boolean): Failure {
    const { code, syscall, message } = error as NodeJS.ErrnoException;
    if (!cancelled && !expired && (syscall === "connect" || code === "UND_ERR_CONNECT_TIMEOUT")) {
        return unreachable(`cannot connect to the endpoint: ${message}`);
    }
    const verdict = Verdict.MayHaveRun;
    if (cancelled) {
        return { verdict, error: { code: FaultCode.Cancelled, message: "cancelled while running" } };
    }
    if (expired) {
        return {
            verdict,
            error: { code: FaultCode.DeadlineExceeded, message: "no response from the endpoint before the deadline" },
        };
    }
    return {
        verdict,
        error: { code: FaultCode.EndpointFailed, message: `connection to the endpoint lost: ${message}` },
    };
}

function unreachable(message: string): Failure {
    return { verdict: Verdict.NotRun, error: { code: FaultCode.EndpointUnreachable, message } };
}
