import { EndpointSettings } from "../../common/settings/EndpointSettings.js";
import type { ExitCode } from "../ExitCode.js";
import { RoleProcess } from "../RoleProcess.js";
import { loadEndpoint } from "../roles/loadEndpoint.js";
import type { Terminal } from "../Terminal.js";

/** Runs the endpoint until a signal stops it. */
export function runEndpoint(terminal: Terminal, options: { readonly settings: string; }): Promise<ExitCode> {
    return new RoleProcess("endpoint", EndpointSettings, loadEndpoint, terminal).run(options.settings);
}
