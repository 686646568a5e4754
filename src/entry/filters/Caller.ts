import type { CallerRole } from "../../common/settings/CallerRole.js";

/** Who sent an HTTP request, as its token says. */
export interface Caller {
    readonly team: string;
    readonly role: CallerRole;
}
