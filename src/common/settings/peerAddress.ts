import * as z from "zod/mini";

/** `ip:port` of another process. */
export const peerAddress = z.string().check(z.regex(/^[0-9.]+:[0-9]{1,5}$/, "expected ip:port, such as 10.0.0.5:7400"));
