import type { CallerRole } from "../common/settings/CallerRole.js";

/** Holder of an authenticated token. */
export interface Principal {
    readonly role: CallerRole;
    readonly team: string;
}
