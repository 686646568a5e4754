import { Pool } from "undici";
import type { Disposable } from "../Disposable.js";
import { Fault } from "../Fault.js";
import { FaultCode } from "../FaultCode.js";
import { Verdict } from "../Verdict.js";
import type { Row } from "./Row.js";
import type { Table } from "./Table.js";
import type { Transaction } from "./Transaction.js";

const MAX_CONNECTIONS = 4;
const STATUS_OK = 200;
const STATUS_NOT_FOUND = 404;

interface JsonResponse {
    readonly status: number;
    readonly body: unknown;
}

/** HTTP client of the table service. It never retries a request, because a transaction may have taken effect. */
export class HttpTable implements Table, Disposable {
    private readonly pool: Pool;

    constructor(
        url: string,
        /** Timeout of one request, in milliseconds. */
        private readonly timeoutMs: number,
    ) {
        this.pool = new Pool(new URL(url).origin, { connections: MAX_CONNECTIONS, connect: { timeout: timeoutMs } });
    }

    public async read(key: string): Promise<Row | undefined> {
        const reply = await this.send("GET", `/v1/rows/${encodeURIComponent(key)}`, Verdict.NotRun);
        return reply.status === STATUS_NOT_FOUND ? undefined : reply.body as Row;
    }

    public async list(prefix: string): Promise<readonly Row[]> {
        const reply = await this.send("GET", `/v1/rows?prefix=${encodeURIComponent(prefix)}`, Verdict.NotRun);
        return (reply.body as { readonly rows: readonly Row[]; }).rows;
    }

    public async transact(transaction: Transaction): Promise<boolean> {
        const reply = await this.send("POST", "/v1/transactions", Verdict.MayHaveRun, JSON.stringify(transaction));
        return (reply.body as { readonly applied: boolean; }).applied;
    }

    public dispose(): void {
        void this.pool.destroy();
    }

    private async send(method: "GET" | "POST", path: string, verdict: Verdict, body?: string): Promise<JsonResponse> {
        try {
            const response = await this.pool.request({
                method,
                path,
                body: body ?? null,
                headers: body === undefined ? {} : { "content-type": "application/json" },
                signal: AbortSignal.timeout(this.timeoutMs),
            });
            const reply = { status: response.statusCode, body: await response.body.json() };
            if (reply.status === STATUS_OK || (method === "GET" && reply.status === STATUS_NOT_FOUND)) {
                return reply;
            }
            throw new Error(`unexpected status ${reply.status}`);
        }
        catch (error) {
            const reason = error instanceof Error ? error.message : String(error);
            throw new Fault(FaultCode.StoreUnavailable, `table service: ${method} ${path}: ${reason}`, verdict);
        }
    }
}
