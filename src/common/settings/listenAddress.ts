import * as z from "zod/mini";

const MAX_PORT = 65535;

/** Address to listen on; port 0 selects a free port. */
export const listenAddress = z.strictObject({
    host: z.string().check(z.minLength(1)),
    port: z.int().check(z.minimum(0), z.maximum(MAX_PORT)),
});
