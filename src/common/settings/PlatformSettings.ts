import * as z from "zod/mini";
import { listenAddress } from "./listenAddress.js";

const DEFAULT_WRITE_DELAY_MS = 5;

/** Settings of the stub of the platform's table service and object store. */
export const PlatformSettings = z.strictObject({
    http: listenAddress,
    /** Duration of a synchronous write, in milliseconds. */
    writeDelayMs: z._default(z.number().check(z.minimum(0)), DEFAULT_WRITE_DELAY_MS),
});

export type PlatformSettings = z.infer<typeof PlatformSettings>;
