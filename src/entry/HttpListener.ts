import { createServer, type RequestListener, type Server } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { FaultCode } from "../common/FaultCode.js";
import type { Log } from "../common/log/Log.js";
import { Verdict } from "../common/Verdict.js";
import { EntryEvent } from "./EntryEvent.js";
import { errorBody } from "./routes/errorBody.js";

const MAX_HEADER_BYTES = 16 * 1024;

/** A caller must send its headers within this time. */
const HEADERS_TIMEOUT_MS = 10_000;

/** A caller must send its headers and body within this time. */
const RECEIVE_TIMEOUT_MS = 30_000;

/** How often the two limits above are checked; the default of Node.js is 30 s. */
const TIMEOUT_CHECK_MS = 1000;

/** Maximum number of open caller connections; further ones are closed at once. */
const MAX_CONNECTIONS = 4096;

/** Responses to requests that Node.js refuses before the handler sees them, by Node.js error code. */
const REJECTED_INPUT: Readonly<Record<string, readonly [line: string, code: FaultCode, message: string]>> = {
    HPE_HEADER_OVERFLOW: [
        "431 Request Header Fields Too Large",
        FaultCode.TooLarge,
        `the headers exceed the limit of ${MAX_HEADER_BYTES} bytes`,
    ],
    ERR_HTTP_REQUEST_TIMEOUT: [
        "408 Request Timeout",
        FaultCode.Timeout,
        `the request did not arrive within ${RECEIVE_TIMEOUT_MS} ms, or its headers within ${HEADERS_TIMEOUT_MS} ms`,
    ],
};

/** HTTP server on a port, with limits on headers, receive times and connections; `handle` answers the requests. */
export class HttpListener {
    private constructor(private readonly server: Server) {}

    public static async listen(
        handle: RequestListener,
        address: { readonly host: string; readonly port: number; },
        log: Log,
    ): Promise<HttpListener> {
        const limits = {
            maxHeaderSize: MAX_HEADER_BYTES,
            headersTimeout: HEADERS_TIMEOUT_MS,
            requestTimeout: RECEIVE_TIMEOUT_MS,
            connectionsCheckingInterval: TIMEOUT_CHECK_MS,
        };
        const server = createServer(limits, handle);
        server.maxConnections = MAX_CONNECTIONS;
        server.on("drop", () => {
            log.write(EntryEvent.ConnectionRefused, { open: MAX_CONNECTIONS });
        });
        server.on("clientError", (error: NodeJS.ErrnoException, socket: Socket) => {
            refuseInput(error, socket);
        });
        await new Promise<void>((resolve, reject) => {
            server.once("error", reject);
            server.listen(address.port, address.host, resolve);
        });
        return new HttpListener(server);
    }

    public get port(): number {
        return (this.server.address() as AddressInfo).port;
    }

    /** Stops accepting connections and resolves once the open requests have been answered. */
    public close(): Promise<void> {
        const closed = new Promise<void>(resolve => {
            this.server.close(() => {
                resolve();
            });
        });
        this.closeIdle();
        return closed;
    }

    /** Closes keep-alive connections whose requests have been answered since `close`. */
    public closeIdle(): void {
        this.server.closeIdleConnections();
    }

    /** Closes every connection at once. */
    public abort(): void {
        this.server.close();
        this.server.closeAllConnections();
    }
}

/** Sends an error response for input that is not a complete, valid request, and closes the connection. */
function refuseInput(error: NodeJS.ErrnoException, socket: Socket): void {
    if (!socket.writable || error.code === "ECONNRESET") {
        socket.destroy();
        return;
    }
    const [line, code, message] = REJECTED_INPUT[error.code ?? ""]
        ?? ["400 Bad Request", FaultCode.BadInput, "not a valid HTTP request"];
    const body = JSON.stringify(errorBody(code, message, Verdict.NotRun));
    const headers = `content-type: application/json\r\ncontent-length: ${Buffer.byteLength(body)}\r\nconnection: close`;
    socket.end(`HTTP/1.1 ${line}\r\n${headers}\r\n\r\n${body}`, () => socket.destroy());
}
