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

/** Steps of the story of a job, given as a list or in a field. */
export const StoryBody = z.union([
    z.array(step),
    z.pipe(z.object({ story: z.array(step) }), z.transform(body => body.story)),
    z.pipe(z.object({ entries: z.array(step) }), z.transform(body => body.entries)),
]);

export type StoryBody = z.infer<typeof StoryBody>;
