import * as z from "zod/mini";

/** Payload of a task for the endpoint stub. */
export const TaskPayload = z.object({
    /** Run time at speed 1, in milliseconds. */
    runMs: z.number().check(z.minimum(0)),
    /** JSON value that is returned unchanged. */
    value: z.optional(z.unknown()),
    /** True makes the task fail with status 500. */
    fail: z.optional(z.boolean()),
    /** True adds the wall-clock start, in milliseconds since the Unix epoch, to the output. */
    timed: z.optional(z.boolean()),
});

export type TaskPayload = z.infer<typeof TaskPayload>;
