import { Hono } from "hono";
import type { Clock } from "../../common/Clock.js";
import { Fault } from "../../common/Fault.js";
import { FaultCode } from "../../common/FaultCode.js";
import type { Log } from "../../common/log/Log.js";
import type { EntrySettings } from "../../common/settings/EntrySettings.js";
import { answerFault } from "../filters/answerFault.js";
import { authenticate } from "../filters/authenticate.js";
import { BodyBudget } from "../filters/BodyBudget.js";
import type { HttpEnvironment } from "../filters/HttpEnvironment.js";
import { limitBody } from "../filters/limitBody.js";
import { limitTime } from "../filters/limitTime.js";
import { refuseWhileDraining } from "../filters/refuseWhileDraining.js";
import type { TokenIndex } from "../filters/TokenIndex.js";

/** Longest possible deadline of a job plus time to settle it. */
const MAX_REQUEST_MS = 86_460_000;

/** Bytes that the bodies of all requests may take together while they arrive. */
const MAX_ARRIVING_BYTES = 64 * 1024 * 1024;

interface Parts {
    readonly settings: Pick<EntrySettings, "maxBodyBytes">;
    readonly tokens: TokenIndex;
    readonly clock: Clock;
    readonly log: Log;
    readonly draining: () => boolean;
    /** Routes below /v1. */
    readonly routes: readonly Hono<HttpEnvironment>[];
    /** Routes of the configuration, with their whole paths. */
    readonly configurationRoutes: Hono;
}

/** Assembles the filter chain and the routes. */
export function createApp(parts: Parts): Hono<HttpEnvironment> {
    const app = new Hono<HttpEnvironment>();
    app.onError((error, context) => answerFault(error, context, parts.log));
    app.notFound(context => {
        const fault = new Fault(FaultCode.NotFound, `no route ${context.req.method} ${context.req.path}`);
        return answerFault(fault, context, parts.log);
    });
    app.get("/healthz", context => {
        const draining = parts.draining();
        return context.json({ status: draining ? "draining" : "ok" }, draining ? 503 : 200);
    });
    app.use("/v1/*", limitTime(parts.clock, MAX_REQUEST_MS));
    app.use("/v1/*", authenticate(parts.tokens));
    app.use("/v1/*", limitBody(parts.settings.maxBodyBytes, new BodyBudget(MAX_ARRIVING_BYTES)));
    app.use("/v1/tickets", refuseWhileDraining(parts.draining));
    for (const routes of parts.routes) {
        app.route("/v1", routes);
    }
    app.route("/", parts.configurationRoutes);
    return app;
}
