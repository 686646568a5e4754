import * as z from "zod/mini";
import { listenAddress } from "./listenAddress.js";
import { peerAddress } from "./peerAddress.js";
import { processName } from "./processName.js";
import { secretText } from "./secretText.js";

const DEFAULT_MAX_CONNECTIONS = 512;
const DEFAULT_MAX_BODY_BYTES = 2 * 1024 * 1024;
const DEFAULT_DRAIN_LIMIT_MS = 30_000;
const DEFAULT_STORE_TIMEOUT_MS = 2000;

/** Settings of an entry. */
export const EntrySettings = z.strictObject({
    id: processName,
    region: processName,
    failureDomain: processName,
    /** Address where other entries and agents connect. */
    listen: listenAddress,
    /** `ip:port` at which other processes reach this one; defaults to the listening address. */
    advertise: z.optional(peerAddress),
    /** Address where callers and operators connect. */
    http: listenAddress,
    /** Secret that all processes of the deployment share. */
    secret: secretText,
    tokens: z.array(z.strictObject({
        token: secretText,
        role: z.enum(["caller", "operator", "admin"]),
        team: processName,
    })),
    /** Addresses of other entries that this one contacts first to join the deployment. */
    entries: z._default(z.array(peerAddress), []),
    platform: z.optional(z.strictObject({
        url: z.url(),
        timeoutMs: z._default(z.int().check(z.minimum(1)), DEFAULT_STORE_TIMEOUT_MS),
    })),
    scheduler: z._default(z.enum(["fair", "fifo", "random", "two-choices"]), "fair"),
    metrics: z.optional(listenAddress),
    maxConnections: z._default(z.int().check(z.minimum(1)), DEFAULT_MAX_CONNECTIONS),
    maxBodyBytes: z._default(z.int().check(z.minimum(1024)), DEFAULT_MAX_BODY_BYTES),
    drainLimitMs: z._default(z.int().check(z.minimum(0)), DEFAULT_DRAIN_LIMIT_MS),
});

export type EntrySettings = z.infer<typeof EntrySettings>;
