import type { Role } from "./Role.js";

/** Identity of a process, as sent in the handshake. */
export interface Identity {
    readonly role: Role;
    /** Stable name from the settings. */
    readonly id: string;
    /** New at each process start. */
    readonly incarnation: string;
    readonly region: string;
    readonly failureDomain: string;
    /** `ip:port` of the process's listener. */
    readonly address: string;
}
