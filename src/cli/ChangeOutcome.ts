import * as z from "zod/mini";

/** Response body with the outcome of a configuration change. */
export const ChangeOutcome = z.object({
    kind: z.enum(["applied", "not_applied"]),
    revision: z.optional(z.number()),
    verdict: z.enum(["not_run", "ran"]),
});

export type ChangeOutcome = z.infer<typeof ChangeOutcome>;
