import { EntrySettings } from "../../common/settings/EntrySettings.js";
import type { ExitCode } from "../ExitCode.js";
import { RoleProcess } from "../RoleProcess.js";
import { loadEntry } from "../roles/loadEntry.js";
import type { Terminal } from "../Terminal.js";

/** Runs the entry until a signal stops it. */
export function runEntry(terminal: Terminal, options: { readonly settings: string; }): Promise<ExitCode> {
    return new RoleProcess("entry", EntrySettings, loadEntry, terminal).run(options.settings);
}
