import type { AgentSettings } from "../../common/settings/AgentSettings.js";
import type { RoleStarter } from "../RoleStarter.js";
import type { RunningAgent } from "./RunningAgent.js";

// A literal specifier does not compile until the module exists.
const MODULE: string = "../../agent/Agent.js";

/** Loads the agent role on first use. */
export async function loadAgent(): Promise<RoleStarter<AgentSettings, RunningAgent>> {
    const module = await import(MODULE) as { readonly Agent: RoleStarter<AgentSettings, RunningAgent>; };
    return module.Agent;
}
