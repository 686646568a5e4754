import type { EndpointSettings } from "../../common/settings/EndpointSettings.js";
import type { RoleStarter } from "../RoleStarter.js";
import type { RunningEndpoint } from "./RunningEndpoint.js";

// A literal specifier does not compile until the module exists.
const MODULE: string = "../../endpoint/Endpoint.js";

/** Loads the endpoint role on first use. */
export async function loadEndpoint(): Promise<RoleStarter<EndpointSettings, RunningEndpoint>> {
    const module = await import(MODULE) as { readonly Endpoint: RoleStarter<EndpointSettings, RunningEndpoint>; };
    return module.Endpoint;
}
