import { Hono } from "hono";
import * as z from "zod/mini";
import { TicketIssuer } from "../controllers/TicketIssuer.js";
import { checkInput } from "../filters/checkInput.js";
import type { HttpEnvironment } from "../filters/HttpEnvironment.js";

const TicketsBody = z.strictObject({
    service: z.string(),
    count: z._default(z.int().check(z.minimum(1), z.maximum(TicketIssuer.maxBatch)), 1),
});

/** Route that issues tickets for the caller's team. */
export function ticketRoutes(tickets: TicketIssuer): Hono<HttpEnvironment> {
    const routes = new Hono<HttpEnvironment>();
    routes.post("/tickets", async context => {
        const { service, count } = await checkInput(context, TicketsBody);
        const issued = await tickets.issue(service, context.get("caller").team, count);
        return context.json({ tickets: issued, expiresInMs: TicketIssuer.lifetimeMs });
    });
    return routes;
}
