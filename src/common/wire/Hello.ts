import type { Role } from "./Role.js";

/** First message on every connection, in both directions. */
export interface Hello {
    readonly kind: "hello";
    readonly version: number;
    readonly role: Role;
    readonly id: string;
    readonly incarnation: string;
    readonly region: string;
    readonly failureDomain: string;
    /** `ip:port` where the sender listens. */
    readonly address: string;
    /** HMAC-SHA256 of the identity above with the deployment's secret, base64url. */
    readonly proof: string;
}
