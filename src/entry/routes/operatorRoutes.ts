import { Hono } from "hono";
import type { ConfigurationView } from "../../common/configuration/ConfigurationView.js";
import { Fault } from "../../common/Fault.js";
import { FaultCode } from "../../common/FaultCode.js";
import { CallerRole } from "../../common/settings/CallerRole.js";
import type { HttpEnvironment } from "../filters/HttpEnvironment.js";
import type { MemberView } from "../MemberView.js";

interface Dependencies {
    readonly members: MemberView;
    readonly configuration: ConfigurationView;
    readonly agents: { counts(): Readonly<Record<string, number>>; };
    readonly queued: (service: string) => number;
    readonly startDrain: () => void;
}

/** Routes for operators: members, services and drain. */
export function operatorRoutes(dependencies: Dependencies): Hono<HttpEnvironment> {
    const routes = new Hono<HttpEnvironment>();
    routes.get("/members", context => context.json({ members: dependencies.members.live() }));
    routes.get("/services", context => {
        const agents = dependencies.agents.counts();
        const services = dependencies.configuration.services().map(name => ({
            name,
            configuration: dependencies.configuration.service(name),
            agents: agents[name] ?? 0,
            queued: dependencies.queued(name),
        }));
        return context.json({ services });
    });
    routes.post("/drain", context => {
        if (context.get("caller").role !== CallerRole.Admin) {
            throw new Fault(FaultCode.Forbidden, "only an admin may drain an entry");
        }
        dependencies.startDrain();
        return context.json({ draining: true }, 202);
    });
    return routes;
}
