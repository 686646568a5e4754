import * as z from "zod/mini";

/** Response body of an HTTP error. */
export const errorBody = z.object({
    error: z.object({
        code: z.string(),
        message: z.string(),
        path: z.optional(z.string()),
        faults: z.optional(z.array(z.object({ path: z.string(), message: z.string() }))),
    }),
    verdict: z.enum(["not_run", "may_have_run", "ran"]),
    token: z.optional(z.string()),
    retryAfterMs: z.optional(z.number()),
});
