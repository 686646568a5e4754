import * as z from "zod/mini";

/** Schema of a task list in a file. */
export const taskList = z.array(z.strictObject({
    payload: z.unknown(),
    sizeMs: z.optional(z.number().check(z.minimum(0))),
    repeatable: z.optional(z.boolean()),
})).check(z.minLength(1));
