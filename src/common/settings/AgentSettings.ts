import * as z from "zod/mini";
import { listenAddress } from "./listenAddress.js";
import { peerAddress } from "./peerAddress.js";
import { processName } from "./processName.js";
import { secretText } from "./secretText.js";

const DEFAULT_DRAIN_LIMIT_MS = 30_000;
const DEFAULT_RECORD_BYTES = 8 * 1024 * 1024;
const DEFAULT_RECORD_RETENTION_MS = 600_000;

/** Settings of an agent. */
export const AgentSettings = z.strictObject({
    id: processName,
    region: processName,
    failureDomain: processName,
    rack: processName,
    /** Address where entries connect to settle tickets. */
    listen: listenAddress,
    /** `ip:port` at which other processes reach this one; defaults to the listening address. */
    advertise: z.optional(peerAddress),
    /** Local HTTP address where the endpoint announces itself. */
    announce: listenAddress,
    /** Secret that all processes of the deployment share. */
    secret: secretText,
    /** Addresses of entries, or of the load balancer in front of them. */
    entries: z.array(peerAddress).check(z.minLength(1)),
    /** Maximum time that finished records are kept, in milliseconds. */
    recordRetentionMs: z._default(z.int().check(z.minimum(0)), DEFAULT_RECORD_RETENTION_MS),
    /** Maximum size of the kept records with their outputs, in bytes. */
    recordBytes: z._default(z.int().check(z.minimum(1024)), DEFAULT_RECORD_BYTES),
    metrics: z.optional(listenAddress),
    drainLimitMs: z._default(z.int().check(z.minimum(0)), DEFAULT_DRAIN_LIMIT_MS),
});

export type AgentSettings = z.infer<typeof AgentSettings>;
