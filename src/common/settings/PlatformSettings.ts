import * as z from "zod/mini";
import { listenAddress } from "./listenAddress.js";

const DEFAULT_WRITE_DELAY_MS = 5;

/** Settings of the stand-in for the platform's table service and object store. */
export const PlatformSettings = z.strictObject({
    http: listenAddress,
    /** Time that a synced write takes, in milliseconds. */
    writeDelayMs: z._default(z.number().check(z.minimum(0)), DEFAULT_WRITE_DELAY_MS),
});

export type PlatformSettings = z.infer<typeof PlatformSettings>;
