import { AgentSettings } from "../../common/settings/AgentSettings.js";
import type { ExitCode } from "../ExitCode.js";
import { RoleProcess } from "../RoleProcess.js";
import { loadAgent } from "../roles/loadAgent.js";
import type { Terminal } from "../Terminal.js";

/** Runs the agent until a signal stops it. */
export function runAgent(terminal: Terminal, options: { readonly settings: string; }): Promise<ExitCode> {
    return new RoleProcess("agent", AgentSettings, loadAgent, terminal).run(options.settings);
}
