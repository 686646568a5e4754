import { createAdaptorServer } from "@hono/node-server";
import type { Hono } from "hono";
import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import type { HttpEnvironment } from "./filters/HttpEnvironment.js";

const MAX_HEADER_BYTES = 16 * 1024;

/** Time for a caller to send its headers and body. */
const RECEIVE_TIMEOUT_MS = 30_000;

/** HTTP listener of an entry. */
export class HttpServer {
    private constructor(private readonly server: Server) {}

    public static async listen(
        app: Hono<HttpEnvironment>,
        address: { readonly host: string; readonly port: number; },
    ): Promise<HttpServer> {
        const serverOptions = { maxHeaderSize: MAX_HEADER_BYTES, requestTimeout: RECEIVE_TIMEOUT_MS };
        const server = createAdaptorServer({ fetch: app.fetch, serverOptions }) as Server;
        await new Promise<void>((resolve, reject) => {
            server.once("error", reject);
            server.listen(address.port, address.host, resolve);
        });
        return new HttpServer(server);
    }

    public get port(): number {
        return (this.server.address() as AddressInfo).port;
    }

    /** Takes no more connections and resolves once the open requests have been answered. */
    public close(): Promise<void> {
        const closed = new Promise<void>(resolve => {
            this.server.close(() => {
                resolve();
            });
        });
        this.closeIdle();
        return closed;
    }

    /** Closes kept-alive connections whose requests have been answered since `close`. */
    public closeIdle(): void {
        this.server.closeIdleConnections();
    }

    /** Closes every connection at once. */
    public abort(): void {
        this.server.close();
        this.server.closeAllConnections();
    }
}
