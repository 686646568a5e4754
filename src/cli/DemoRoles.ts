import type { AgentSettings } from "../common/settings/AgentSettings.js";
import type { EndpointSettings } from "../common/settings/EndpointSettings.js";
import type { EntrySettings } from "../common/settings/EntrySettings.js";
import type { PlatformSettings } from "../common/settings/PlatformSettings.js";
import type { RunningAgent } from "./roles/RunningAgent.js";
import type { RunningEndpoint } from "./roles/RunningEndpoint.js";
import type { RunningEntry } from "./roles/RunningEntry.js";
import type { RunningPlatform } from "./roles/RunningPlatform.js";
import type { RoleStarter } from "./RoleStarter.js";

/** Roles of a demo deployment. */
export interface DemoRoles {
    readonly entry: RoleStarter<EntrySettings, RunningEntry>;
    readonly agent: RoleStarter<AgentSettings, RunningAgent>;
    readonly platform: RoleStarter<PlatformSettings, RunningPlatform>;
    readonly endpoint: RoleStarter<EndpointSettings, RunningEndpoint>;
}
