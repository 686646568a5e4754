import type { PlatformSettings } from "../../common/settings/PlatformSettings.js";
import type { RoleStarter } from "../RoleStarter.js";
import type { RunningPlatform } from "./RunningPlatform.js";

/** Loads the platform role on first use. */
export async function loadPlatform(): Promise<RoleStarter<PlatformSettings, RunningPlatform>> {
    const module = await import("../../platform/Platform.js");
    return module.Platform;
}
