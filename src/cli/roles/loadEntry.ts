import type { EntrySettings } from "../../common/settings/EntrySettings.js";
import type { RoleStarter } from "../RoleStarter.js";
import type { RunningEntry } from "./RunningEntry.js";

// A literal specifier does not compile until the module exists.
const MODULE: string = "../../entry/Entry.js";

/** Loads the entry role on first use. */
export async function loadEntry(): Promise<RoleStarter<EntrySettings, RunningEntry>> {
    const module = await import(MODULE) as { readonly Entry: RoleStarter<EntrySettings, RunningEntry>; };
    return module.Entry;
}
