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
import { errorBody } from "./errorBody.js";
import { parseBaseRevision } from "./parseBaseRevision.js";
import { toChangeResponse } from "./toChangeResponse.js";

const MAX_BODY_BYTES = 2 * 1024 * 1024;

interface Dependencies {
    readonly configuration: ConfigurationManager;
    readonly store: ConfigurationStore;
    /** Principal of the request's token; undefined when the token is missing or unknown. */
    readonly principal: (request: Request) => Principal | undefined;
}

/** Routes below `/v1/config`, with which operators read and change the configuration. */
export function configurationRoutes(options: Dependencies): Hono {
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
    app.get("/v1/config/tokens/:token", context => resolveToken(context, configuration));
    app.post("/v1/config/check", async context => {
        const body = await readJson(context);
        return body instanceof Response ? body : toCheckResponse(context, configuration, body.value);
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
    return context.json(errorBody(FaultCode.TooLarge, `the body exceeds the limit of ${MAX_BODY_BYTES} bytes`), 413);
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
    const base = parseBaseRevision(context.req.header("if-match"), context.req.header("if-none-match"));
    if (base === undefined) {
        const message = "If-Match with the section revision that was read, or If-None-Match: * for a new section";
        return context.json(errorBody(FaultCode.BadInput, `required: ${message}`), 428);
    }
    const reply = toChangeResponse(await apply(base, context.req.param("team") ?? ""));
    return context.json(reply.body, reply.status as ContentfulStatusCode, reply.headers);
}

async function resolveToken(context: Context, configuration: ConfigurationManager): Promise<Response> {
    const token = WriteToken.parse(context.req.param("token") ?? "");
    if (token === undefined) {
        return context.json(errorBody(FaultCode.BadInput, "the path does not contain a valid write token"), 400);
    }
    try {
        const resolved = await configuration.resolveChange(token);
        return resolved.kind === "forgotten"
            ? context.json(
                errorBody(
                    FaultCode.RecordsLost,
                    "the write token is too old and no longer kept",
                    Verdict.MayHaveRun,
                ),
                410,
            )
            : context.json({ ...resolved, verdict: resolved.kind === "applied" ? Verdict.Ran : Verdict.NotRun });
    }
    catch (error) {
        const message = error instanceof Error ? error.message : String(error);
        return context.json(errorBody(FaultCode.StoreUnavailable, message, Verdict.MayHaveRun), 503);
    }
}

/** Checks one section, or a whole document when the body has `sections`. */
function toCheckResponse(context: Context, configuration: ConfigurationManager, body: unknown): Response {
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
