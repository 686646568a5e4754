import type { EntrySettings } from "../../common/settings/EntrySettings.js";
import type { RoleStarter } from "../RoleStarter.js";
import type { RunningEntry } from "./RunningEntry.js";

/** Loads the entry role on first use. */
export async function loadEntry(): Promise<RoleStarter<EntrySettings, RunningEntry>> {
    const module = await import("../../entry/Entry.js");
    return module.Entry;
}
