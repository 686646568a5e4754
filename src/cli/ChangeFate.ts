import * as z from "zod/mini";

/** Body of the answer about the fate of a configuration change. */
export const ChangeFate = z.object({
    kind: z.enum(["applied", "not_applied"]),
    revision: z.optional(z.number()),
    verdict: z.enum(["not_run", "ran"]),
});

export type ChangeFate = z.infer<typeof ChangeFate>;
