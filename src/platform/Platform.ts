import { type HttpBindings, serve, type ServerType } from "@hono/node-server";
import { type Context, Hono, type Next } from "hono";
import { once } from "node:events";
import type { AddressInfo } from "node:net";
import type { RunningRole } from "../common/RunningRole.js";
import type { Runtime } from "../common/Runtime.js";
import type { PlatformSettings } from "../common/settings/PlatformSettings.js";
import { FaultPlan } from "./FaultPlan.js";
import { PlatformEvent } from "./PlatformEvent.js";
import { Rows } from "./Rows.js";
import { TransactionBody } from "./TransactionBody.js";

type Bindings = { Bindings: HttpBindings; };
type PlatformContext = Context<Bindings, string>;

/** Stub of the platform's transactional table service and object store, for development; keeps all data in memory. */
export class Platform implements RunningRole {
    private readonly rows = new Rows();
    private readonly objects = new Map<string, ArrayBuffer>();
    private readonly statistics = { reads: 0, writes: 0, refused: 0, lostReplies: 0 };
    private readonly pendingDelays = new Set<() => void>();
    private faultPlan: FaultPlan = { mode: "up", delayMs: 0, loseReplies: 0 };
    private server: ServerType | undefined;

    private constructor(
        private readonly settings: PlatformSettings,
        private readonly runtime: Runtime,
    ) {}

    /** Starts the HTTP server; port 0 binds a free port. */
    public static async start(settings: PlatformSettings, runtime: Runtime): Promise<Platform> {
        const platform = new Platform(settings, runtime);
        await platform.listen();
        return platform;
    }

    public get port(): number {
        return (this.server?.address() as AddressInfo).port;
    }

    public async drain(): Promise<readonly string[]> {
        await this.dispose();
        return [];
    }

    public dispose(): Promise<void> {
        const server = this.server;
        this.server = undefined;
        if (server === undefined) {
            return Promise.resolve();
        }
        this.runtime.log.write(PlatformEvent.Stopped);
        for (const end of [...this.pendingDelays]) {
            end();
        }
        return new Promise(resolve => {
            server.close(() => {
                resolve();
            });
            if ("closeAllConnections" in server) {
                server.closeAllConnections();
            }
        });
    }

    private async listen(): Promise<void> {
        const { host, port } = this.settings.http;
        const server = serve({ fetch: this.routes().fetch, hostname: host, port });
        await once(server, "listening");
        this.server = server;
        this.runtime.log.write(PlatformEvent.Started, { port: this.port });
    }

    private routes(): Hono<Bindings> {
        const app = new Hono<Bindings>();
        app.get("/v1/statistics", context => context.json({ ...this.statistics, rows: this.rows.size }));
        app.post("/v1/faults", context => this.changeFaults(context));
        app.use("/v1/*", (context: PlatformContext, next) => this.injectFaults(context, next));
        app.get("/v1/rows", context => this.list(context));
        app.get("/v1/rows/:key", context => this.read(context));
        app.post("/v1/transactions", context => this.transact(context));
        app.put("/v1/objects/:name", context => this.putObject(context));
        app.get("/v1/objects/:name", context => this.getObject(context));
        return app;
    }

    private async changeFaults(context: PlatformContext): Promise<Response> {
        const parsed = FaultPlan.safeParse(await context.req.json());
        if (!parsed.success) {
            return context.json({ error: parsed.error.issues }, 400);
        }
        this.faultPlan = parsed.data;
        this.runtime.log.write(PlatformEvent.FaultsChanged, parsed.data);
        return context.json(parsed.data);
    }

    private async injectFaults(context: PlatformContext, next: Next): Promise<Response | undefined> {
        if (this.faultPlan.mode === "slow") {
            await this.delay(this.faultPlan.delayMs);
        }
        if (this.faultPlan.mode === "down") {
            this.statistics.refused += 1;
            return context.json({ error: "unavailable" }, 503);
        }
        await next();
        return undefined;
    }

    private list(context: PlatformContext): Response {
        this.statistics.reads += 1;
        return context.json({ rows: this.rows.list(context.req.query("prefix") ?? "") });
    }

    private read(context: PlatformContext): Response {
        this.statistics.reads += 1;
        const row = this.rows.read(context.req.param("key") ?? "");
        return row === undefined ? context.json({ error: "no such row" }, 404) : context.json(row);
    }

    private async transact(context: PlatformContext): Promise<Response> {
        const parsed = TransactionBody.safeParse(await context.req.json());
        if (!parsed.success) {
            return context.json({ error: parsed.error.issues }, 400);
        }
        const { conditions } = parsed.data;
        const writes = parsed.data.writes.map(({ key, value }) => ({ key, value }));
        await this.delay(this.settings.writeDelayMs);
        this.statistics.writes += 1;
        const applied = this.rows.transact({ conditions, writes });
        return this.replyOrDrop(context, context.json({ applied }));
    }

    private async putObject(context: PlatformContext): Promise<Response> {
        const body = await context.req.arrayBuffer();
        await this.delay(this.settings.writeDelayMs);
        this.statistics.writes += 1;
        this.objects.set(context.req.param("name") ?? "", body);
        return this.replyOrDrop(context, context.body(null, 204));
    }

    private getObject(context: PlatformContext): Response {
        this.statistics.reads += 1;
        const object = this.objects.get(context.req.param("name") ?? "");
        return object === undefined ? context.json({ error: "no such object" }, 404) : context.body(object);
    }

    /** Returns the response to a write, or closes its connection while the fault plan has replies left to lose. */
    private replyOrDrop(context: PlatformContext, response: Response): Response {
        if (this.faultPlan.loseReplies === 0) {
            return response;
        }
        this.faultPlan = { ...this.faultPlan, loseReplies: this.faultPlan.loseReplies - 1 };
        this.statistics.lostReplies += 1;
        this.runtime.log.write(PlatformEvent.ReplyLost, { path: context.req.path });
        context.env.outgoing.destroy();
        return response;
    }

    /** Waits for `ms`; `dispose` ends the wait early. */
    private delay(ms: number): Promise<void> {
        if (ms === 0) {
            return Promise.resolve();
        }
        return new Promise(resolve => {
            const end = () => {
                cancel();
                this.pendingDelays.delete(end);
                resolve();
            };
            const cancel = this.runtime.clock.schedule(ms, end);
            this.pendingDelays.add(end);
        });
    }
}
