import { getRequestListener } from "@hono/node-server";
import { Hono } from "hono";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { FaultCode } from "../common/FaultCode.js";
import type { Log } from "../common/log/Log.js";
import { Verdict } from "../common/Verdict.js";
import { AgentEvent } from "./AgentEvent.js";
import { EndpointDeclaration } from "./EndpointDeclaration.js";
import type { ServedEndpoint } from "./ServedEndpoint.js";

interface Options {
    readonly host: string;
    readonly port: number;
    readonly endpoint: ServedEndpoint;
    /** Whether the agent drains; announcements are then refused. */
    readonly draining: () => boolean;
    readonly log: Log;
}

/** Local HTTP server on which the endpoint announces and withdraws itself. */
export class AnnouncementServer {
    private constructor(private readonly server: Server) {}

    public static async listen(options: Options): Promise<AnnouncementServer> {
        const app = createApp(options);
        const listener = getRequestListener(app.fetch, { overrideGlobalObjects: false });
        const server = createServer((request, response) => {
            void listener(request, response);
        });
        await new Promise<void>((resolve, reject) => {
            server.once("error", reject);
            server.listen(options.port, options.host, resolve);
        });
        return new AnnouncementServer(server);
    }

    public get port(): number {
        return (this.server.address() as AddressInfo).port;
    }

    public async dispose(): Promise<void> {
        this.server.closeAllConnections();
        await new Promise(resolve => this.server.close(resolve));
    }
}

function createApp({ endpoint, draining, log }: Options): Hono {
    const app = new Hono();
    app.post("/v1/endpoint", async context => {
        if (draining()) {
            log.write(AgentEvent.AnnouncementRefused, { reason: "draining" });
            return context.json(errorOf(FaultCode.Draining, "the agent is draining"), 503);
        }
        const body: unknown = await context.req.json().catch(() => undefined);
        const parsed = EndpointDeclaration.safeParse(body);
        if (!parsed.success) {
            const message = parsed.error.issues.map(issue => `${issue.path.join(".")}: ${issue.message}`).join("; ");
            log.write(AgentEvent.AnnouncementRefused, { reason: message });
            return context.json(errorOf(FaultCode.BadInput, message), 400);
        }
        endpoint.announce(parsed.data);
        return context.json({ announced: true });
    });
    app.delete("/v1/endpoint", context => {
        endpoint.withdraw("withdrawn by the endpoint");
        return context.json({ announced: false });
    });
    return app;
}

function errorOf(code: FaultCode, message: string): object {
    return { error: { code, message }, verdict: Verdict.NotRun };
}
