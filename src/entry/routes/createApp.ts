import { Hono } from "hono";
import type { Clock } from "../../common/Clock.js";
import { Fault } from "../../common/Fault.js";
import { FaultCode } from "../../common/FaultCode.js";
import type { Log } from "../../common/log/Log.js";
import type { EntrySettings } from "../../common/settings/EntrySettings.js";
import { authenticate } from "../filters/authenticate.js";
import { BodyBudget } from "../filters/BodyBudget.js";
import type { HttpEnvironment } from "../filters/HttpEnvironment.js";
import { limitBody } from "../filters/limitBody.js";
import { limitDuration } from "../filters/limitDuration.js";
import { refuseWhileDraining } from "../filters/refuseWhileDraining.js";
import { toErrorResponse } from "../filters/toErrorResponse.js";
import type { TokenIndex } from "../filters/TokenIndex.js";

/** Longest deadline that the routes accept, plus time to settle the job. */
const MAX_REQUEST_MS = 86_460_000;

/** Limit on the total size of all request bodies that are being received. */
const MAX_ARRIVING_BYTES = 64 * 1024 * 1024;

interface Dependencies {
    readonly settings: Pick<EntrySettings, "maxBodyBytes">;
    readonly tokens: TokenIndex;
    readonly clock: Clock;
    readonly log: Log;
    readonly draining: () => boolean;
    /** Routes below /v1. */
    readonly routes: readonly Hono<HttpEnvironment>[];
    /** Routes of the configuration, with their full paths. */
    readonly configurationRoutes: Hono;
}

/** Creates the HTTP application from the filters and the routes. */
export function createApp(dependencies: Dependencies): Hono<HttpEnvironment> {
    const app = new Hono<HttpEnvironment>();
    app.onError((error, context) => toErrorResponse(error, context, dependencies.log));
    app.notFound(context => {
        const fault = new Fault(FaultCode.NotFound, `no route ${context.req.method} ${context.req.path}`);
        return toErrorResponse(fault, context, dependencies.log);
    });
    app.get("/healthz", context => {
        const draining = dependencies.draining();
        return context.json({ status: draining ? "draining" : "ok" }, draining ? 503 : 200);
    });
    app.use("/v1/*", limitDuration(dependencies.clock, MAX_REQUEST_MS));
    app.use("/v1/*", authenticate(dependencies.tokens));
    app.use("/v1/*", limitBody(dependencies.settings.maxBodyBytes, new BodyBudget(MAX_ARRIVING_BYTES)));
    app.use("/v1/tickets", refuseWhileDraining(dependencies.draining));
    for (const routes of dependencies.routes) {
        app.route("/v1", routes);
    }
    app.route("/", dependencies.configurationRoutes);
    return app;
}
