import type { PlatformSettings } from "../../common/settings/PlatformSettings.js";
import type { RoleStarter } from "../RoleStarter.js";
import type { RunningPlatform } from "./RunningPlatform.js";

// A literal specifier does not compile until the module exists.
const MODULE: string = "../../platform/Platform.js";

/** Loads the platform role on first use. */
export async function loadPlatform(): Promise<RoleStarter<PlatformSettings, RunningPlatform>> {
    const module = await import(MODULE) as { readonly Platform: RoleStarter<PlatformSettings, RunningPlatform>; };
    return module.Platform;
}
