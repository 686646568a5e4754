import { PlatformSettings } from "../../common/settings/PlatformSettings.js";
import type { ExitCode } from "../ExitCode.js";
import { RoleProcess } from "../RoleProcess.js";
import { loadPlatform } from "../roles/loadPlatform.js";
import type { Terminal } from "../Terminal.js";

/** Runs the platform until a signal stops it. */
export function runPlatform(terminal: Terminal, options: { readonly settings: string; }): Promise<ExitCode> {
    return new RoleProcess("platform", PlatformSettings, loadPlatform, terminal).run(options.settings);
}
