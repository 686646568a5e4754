import type { CallerRole } from "../common/settings/CallerRole.js";

/** Role and team that an authenticated token stands for. */
export interface Principal {
    readonly role: CallerRole;
    readonly team: string;
}
