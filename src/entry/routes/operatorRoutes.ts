import { Hono } from "hono";
import type { ConfigurationView } from "../../common/configuration/ConfigurationView.js";
import { Fault } from "../../common/Fault.js";
import { FaultCode } from "../../common/FaultCode.js";
import { CallerRole } from "../../common/settings/CallerRole.js";
import type { HttpEnvironment } from "../filters/HttpEnvironment.js";
import type { MemberView } from "../MemberView.js";

interface Parts {
    readonly members: MemberView;
    readonly configuration: ConfigurationView;
    readonly agents: { counts(): Readonly<Record<string, number>>; };
    readonly queued: (service: string) => number;
    readonly startDrain: () => void;
}

/** Routes for operators: members, services and drain. */
export function operatorRoutes(parts: Parts): Hono<HttpEnvironment> {
    const routes = new Hono<HttpEnvironment>();
    routes.get("/members", context => context.json({ members: parts.members.live() }));
    routes.get("/services", context => {
        const agents = parts.agents.counts();
        const services = parts.configuration.services().map(name => ({
            name,
            configuration: parts.configuration.service(name),
            agents: agents[name] ?? 0,
            queued: parts.queued(name),
        }));
        return context.json({ services });
    });
    routes.post("/drain", context => {
        if (context.get("caller").role !== CallerRole.Admin) {
            throw new Fault(FaultCode.Forbidden, "only an admin may drain an entry");
        }
        parts.startDrain();
        return context.json({ draining: true }, 202);
    });
    return routes;
}
