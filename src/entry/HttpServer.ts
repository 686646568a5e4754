import { getRequestListener } from "@hono/node-server";
import { FaultCode } from "../common/FaultCode.js";
import type { Log } from "../common/log/Log.js";
import { Verdict } from "../common/Verdict.js";
import { HttpListener } from "./HttpListener.js";
import { errorBody } from "./routes/errorBody.js";

/** Application that answers requests, such as a Hono app. */
interface Application {
    readonly fetch: Parameters<typeof getRequestListener>[0];
}

/** HTTP server whose requests are answered by an application's `fetch` function. */
export class HttpServer {
    private constructor(private readonly listener: HttpListener) {}

    public static async listen(
        app: Application,
        address: { readonly host: string; readonly port: number; },
        log: Log,
    ): Promise<HttpServer> {
        const answer = getRequestListener(app.fetch, { errorHandler: refuseRequest });
        const handle = (incoming: Parameters<typeof answer>[0], outgoing: Parameters<typeof answer>[1]) => {
            void answer(incoming, outgoing);
        };
        return new HttpServer(await HttpListener.listen(handle, address, log));
    }

    public get port(): number {
        return this.listener.port;
    }

    /** Stops accepting connections and resolves once the open requests have been answered. */
    public close(): Promise<void> {
        return this.listener.close();
    }

    /** Closes keep-alive connections whose requests have been answered since `close`. */
    public closeIdle(): void {
        this.listener.closeIdle();
    }

    /** Closes every connection at once. */
    public abort(): void {
        this.listener.abort();
    }
}

/** Response to a request that cannot be passed to the routes, such as one with a malformed Host header. */
function refuseRequest(error: unknown): Response {
    const message = error instanceof Error ? error.message : String(error);
    return Response.json(errorBody(FaultCode.BadInput, `malformed request: ${message}`, Verdict.NotRun), {
        status: 400,
    });
}
