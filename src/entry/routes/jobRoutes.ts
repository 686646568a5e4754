import { Hono } from "hono";
import * as z from "zod/mini";
import { Fault } from "../../common/Fault.js";
import { FaultCode } from "../../common/FaultCode.js";
import { FailurePolicy } from "../../common/job/FailurePolicy.js";
import type { JobRequest } from "../../common/job/JobRequest.js";
import { JobState } from "../../common/job/JobState.js";
import { CallerRole } from "../../common/settings/CallerRole.js";
import type { IssuerRelay } from "../controllers/IssuerRelay.js";
import { checkInput } from "../filters/checkInput.js";
import type { HttpEnvironment } from "../filters/HttpEnvironment.js";
import type { Principal } from "../Principal.js";

const MAX_TASKS = 400;
const MAX_DEADLINE_MS = 86_400_000;

/** Longest wait of one status request. */
const MAX_WAIT_MS = 600_000;

const sizeMs = z.optional(z.number().check(z.minimum(0), z.maximum(MAX_DEADLINE_MS)));
const deadlineMs = z.int().check(z.minimum(1), z.maximum(MAX_DEADLINE_MS));
const repeatable = z._default(z.boolean(), false);
const payload = z.json();

const JobBody = z.strictObject({
    ticket: z.optional(z.string()),
    service: z.string(),
    deadlineMs,
    onFailure: z._default(z.enum(["stop", "continue"]), FailurePolicy.Stop),
    tasks: z.array(z.strictObject({ payload, sizeMs, repeatable })).check(z.minLength(1), z.maxLength(MAX_TASKS)),
    wait: z._default(z.boolean(), false),
});

/** Body of `POST /requests`: a job with a single task. */
const RequestBody = z.strictObject({
    ticket: z.optional(z.string()),
    service: z.string(),
    deadlineMs,
    payload,
    sizeMs,
    repeatable,
});

/** Routes of jobs: submission, status, cancellation and history. */
export function jobRoutes(relay: IssuerRelay): Hono<HttpEnvironment> {
    const routes = new Hono<HttpEnvironment>();
    routes.post("/jobs", async context => {
        const { ticket, wait, ...body } = await checkInput(context, JobBody);
        const request = { ...body, ticket: requireTicket(ticket), team: context.get("caller").team };
        const answer = await relay.submit(request, wait ? Infinity : 0);
        return context.json(answer, answer.state === JobState.Running ? 202 : 200);
    });
    routes.post("/requests", async context => {
        const { ticket, service, deadlineMs, ...task } = await checkInput(context, RequestBody);
        const request: JobRequest = {
            ticket: requireTicket(ticket),
            service,
            team: context.get("caller").team,
            deadlineMs,
            onFailure: FailurePolicy.Stop,
            tasks: [task],
        };
        const answer = await relay.submit(request, Infinity);
        return context.json(answer, answer.state === JobState.Running ? 202 : 200);
    });
    routes.get("/jobs/:ticket", async context => {
        const waitMs = parseWaitMs(context.req.query("waitMs"));
        return context.json(
            await relay.status(context.req.param("ticket"), visibleTeam(context.get("caller")), waitMs),
        );
    });
    routes.delete("/jobs/:ticket", async context => {
        return context.json(await relay.cancel(context.req.param("ticket"), visibleTeam(context.get("caller"))));
    });
    routes.get("/jobs/:ticket/story", async context => {
        const steps = await relay.history(context.req.param("ticket"), visibleTeam(context.get("caller")));
        return context.json({ steps });
    });
    return routes;
}

function requireTicket(ticket: string | undefined): string {
    if (ticket === undefined || ticket === "") {
        const message = 'a ticket is required: get one with POST /v1/tickets {"service": ..., "count": 1} '
            + 'and send it as "ticket"';
        throw new Fault(FaultCode.TicketRequired, message);
    }
    return ticket;
}

/** Team whose jobs the caller may see; undefined for an admin, who may see those of every team. */
function visibleTeam(caller: Principal): string | undefined {
    return caller.role === CallerRole.Admin ? undefined : caller.team;
}

function parseWaitMs(text: string | undefined): number {
    const value = Number(text ?? 0);
    if (!Number.isInteger(value) || value < 0 || value > MAX_WAIT_MS) {
        const message = `waitMs must be a whole number from 0 to ${MAX_WAIT_MS}`;
        throw new Fault(FaultCode.BadInput, message, undefined, undefined, "waitMs");
    }
    return value;
}
