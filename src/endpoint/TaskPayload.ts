import * as z from "zod/mini";

/** Payload that the endpoint stand-in runs. */
export const TaskPayload = z.object({
    /** Run time at speed 1, in milliseconds. */
    runMs: z.number().check(z.minimum(0)),
    /** JSON value that is answered unchanged. */
    value: z.optional(z.unknown()),
    /** True makes the task answer with status 500. */
    fail: z.optional(z.boolean()),
    /** True adds the wall-clock start, in milliseconds since the Unix epoch, to the output. */
    timed: z.optional(z.boolean()),
});

export type TaskPayload = z.infer<typeof TaskPayload>;
