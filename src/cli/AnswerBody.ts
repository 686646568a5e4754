import * as z from "zod/mini";

const verdict = z.enum(["not_run", "may_have_run", "ran"]);
const reason = z.optional(z.object({ code: z.string(), message: z.string() }));

/** Response body with the answer to a job. */
export const AnswerBody = z.object({
    ticket: z.optional(z.string()),
    state: z.enum(["running", "complete", "failed"]),
    verdict,
    reason,
    progress: z.optional(z.object({ ended: z.number(), tasks: z.number() })),
    tasks: z.array(z.object({ index: z.number(), verdict, output: z.optional(z.unknown()), error: reason })),
});

export type AnswerBody = z.infer<typeof AnswerBody>;
