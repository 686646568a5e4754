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

/** Body of the story of a job. */
export const StoryBody = z.object({ steps: z.array(step) });

export type StoryBody = z.infer<typeof StoryBody>;
