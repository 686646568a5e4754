import { type Context, Hono } from "hono";
import { bodyLimit } from "hono/body-limit";
import type { ContentfulStatusCode } from "hono/utils/http-status";
import { checkDocument } from "../../common/configuration/checkDocument.js";
import { checkSection } from "../../common/configuration/checkSection.js";
import type { ConfigurationFault } from "../../common/configuration/ConfigurationFault.js";
import type { ConfigurationStore } from "../../common/configuration/ConfigurationStore.js";
import { FaultCode } from "../../common/FaultCode.js";
import { CallerRole } from "../../common/settings/CallerRole.js";
import { Verdict } from "../../common/Verdict.js";
import type { ChangeResult } from "../configuration/ChangeResult.js";
import { WriteToken } from "../configuration/WriteToken.js";
import type { ConfigurationManager } from "../controllers/ConfigurationManager.js";
import type { Principal } from "../Principal.js";
import { changeReply } from "./changeReply.js";
import { errorBody } from "./errorBody.js";
import { readBase } from "./readBase.js";

const MAX_BODY_BYTES = 2 * 1024 * 1024;

/** What the routes work with. */
interface RouteOptions {
    readonly configuration: ConfigurationManager;
    readonly store: ConfigurationStore;
    /** Holder of the request's token; undefined when it has none. */
    readonly principal: (request: Request) => Principal | undefined;
}

/** Routes below `/v1/config` for operators. */
export function configurationRoutes(options: RouteOptions): Hono {
    const { configuration, store, principal } = options;
    const app = new Hono();
    app.use("/v1/config", requireOperator);
    app.use("/v1/config/*", requireOperator);
    app.use("/v1/config/*", bodyLimit({ maxSize: MAX_BODY_BYTES, onError: tooLarge }));
    app.use("/v1/config/sections/:team", requireOwnTeam);

    app.get("/v1/config", context => {
        const holder = principal(context.req.raw);
        const visible = store.teams().filter(section => holder !== undefined && mayUse(holder, section.team));
        const sections = visible.map(section => ({ revision: store.sectionRevision(section.team), section }));
        return context.json({ revision: store.revision, sections });
    });
    app.get("/v1/config/status", context => context.json(configuration.status()));
    app.get("/v1/config/sections/:team", context => readSection(context, store, context.req.param("team")));
    app.put("/v1/config/sections/:team", async context => {
        const body = await readJson(context);
        return body instanceof Response ? body : change(
            context,
            (base, team) => configuration.put(team, base, body.value),
        );
    });
    app.delete("/v1/config/sections/:team", context => {
        return change(context, (base, team) => configuration.delete(team, base));
    });
    app.get("/v1/config/tokens/:token", context => readToken(context, configuration));
    app.post("/v1/config/check", async context => {
        const body = await readJson(context);
        return body instanceof Response ? body : checkReply(context, configuration, body.value);
    });
    return app;

    async function requireOperator(context: Context, next: () => Promise<void>): Promise<Response | undefined> {
        const holder = principal(context.req.raw);
        if (holder === undefined) {
            return context.json(errorBody(FaultCode.Unauthorized, "a valid token is required"), 401);
        }
        if (holder.role === CallerRole.Caller) {
            return context.json(errorBody(FaultCode.Forbidden, "the role operator or admin is required"), 403);
        }
        await next();
        return undefined;
    }

    async function requireOwnTeam(context: Context, next: () => Promise<void>): Promise<Response | undefined> {
        const holder = principal(context.req.raw);
        const team = context.req.param("team") ?? "";
        if (holder === undefined || !mayUse(holder, team)) {
            const message = `the token may not use the section of team ${team}`;
            return context.json(errorBody(FaultCode.Forbidden, message), 403);
        }
        await next();
        return undefined;
    }
}

function mayUse(holder: Principal, team: string): boolean {
    return holder.role === CallerRole.Admin || (holder.role === CallerRole.Operator && holder.team === team);
}

function tooLarge(context: Context): Response {
    return context.json(errorBody(FaultCode.TooLarge, `body is limited to ${MAX_BODY_BYTES} bytes`), 413);
}

async function readJson(context: Context): Promise<Response | { readonly value: unknown; }> {
    try {
        return { value: await context.req.json<unknown>() };
    }
    catch {
        return context.json(errorBody(FaultCode.BadInput, "body is not valid JSON"), 400);
    }
}

function readSection(context: Context, store: ConfigurationStore, team: string): Response {
    const section = store.team(team);
    if (section === undefined) {
        return context.json(errorBody(FaultCode.NotFound, `team ${team} has no section`), 404);
    }
    const revision = store.sectionRevision(team);
    return context.json({ revision, section }, 200, { etag: `"${revision}"` });
}

async function change(
    context: Context,
    apply: (base: number, team: string) => Promise<ChangeResult>,
): Promise<Response> {
    const base = readBase(context.req.header("if-match"), context.req.header("if-none-match"));
    if (base === undefined) {
        const message = "If-Match with the section revision that was read, or If-None-Match: * for a new section";
        return context.json(errorBody(FaultCode.BadInput, `required: ${message}`), 428);
    }
    const reply = changeReply(await apply(base, context.req.param("team") ?? ""));
    return context.json(reply.body, reply.status as ContentfulStatusCode, reply.headers);
}

async function readToken(context: Context, configuration: ConfigurationManager): Promise<Response> {
    const token = WriteToken.parse(context.req.param("token") ?? "");
    if (token === undefined) {
        return context.json(errorBody(FaultCode.BadInput, "this is not a write token"), 400);
    }
    try {
        const settled = await configuration.settle(token);
        return settled.kind === "forgotten"
            ? context.json(errorBody(FaultCode.RecordsLost, "the token is too old", Verdict.MayHaveRun), 410)
            : context.json({ ...settled, verdict: settled.kind === "applied" ? Verdict.Ran : Verdict.NotRun });
    }
    catch (error) {
        const message = error instanceof Error ? error.message : String(error);
        return context.json(errorBody(FaultCode.StoreUnavailable, message, Verdict.MayHaveRun), 503);
    }
}

/** Checks one section, or a whole document when the body has `sections`. */
function checkReply(context: Context, configuration: ConfigurationManager, body: unknown): Response {
    const faults = isDocument(body)
        ? checkDocument(body.sections).caseOf<readonly ConfigurationFault[]>({ Left: found => found, Right: () => [] })
        : checkSection(body).caseOf<readonly ConfigurationFault[]>({
            Left: found => found,
            Right: section => configuration.findConflicts(section),
        });
    return context.json({ valid: faults.length === 0, faults }, faults.length === 0 ? 200 : 422);
}

function isDocument(body: unknown): body is { readonly sections: readonly unknown[]; } {
    return typeof body === "object" && body !== null && "sections" in body && Array.isArray(body.sections);
}
