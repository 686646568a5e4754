import type { AgentSettings } from "../../common/settings/AgentSettings.js";
import type { RoleStarter } from "../RoleStarter.js";
import type { RunningAgent } from "./RunningAgent.js";

/** Loads the agent role on first use. */
export async function loadAgent(): Promise<RoleStarter<AgentSettings, RunningAgent>> {
    const module = await import("../../agent/Agent.js");
    return module.Agent;
}
