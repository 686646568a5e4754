import * as z from "zod/mini";

const step = z.object({
    at: z.number(),
    source: z.string(),
    event: z.number(),
    text: z.string(),
    task: z.optional(z.number()),
    attempt: z.optional(z.number()),
    agent: z.optional(z.string()),
    detail: z.optional(z.string()),
});

/** Response body with the history of a job. */
export const JobHistoryBody = z.object({ steps: z.array(step) });

export type JobHistoryBody = z.infer<typeof JobHistoryBody>;
