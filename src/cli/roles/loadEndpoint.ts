import type { EndpointSettings } from "../../common/settings/EndpointSettings.js";
import type { RoleStarter } from "../RoleStarter.js";
import type { RunningEndpoint } from "./RunningEndpoint.js";

/** Loads the endpoint role on first use. */
export async function loadEndpoint(): Promise<RoleStarter<EndpointSettings, RunningEndpoint>> {
    const module = await import("../../endpoint/Endpoint.js");
    return module.Endpoint;
}
