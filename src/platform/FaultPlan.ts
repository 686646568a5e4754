import * as z from "zod/mini";

/** Faults that the platform stub injects, as posted to `/v1/faults`. */
export const FaultPlan = z.strictObject({
    mode: z.enum(["up", "down", "slow"]),
    /** Delay of each request in mode `slow`, in milliseconds. */
    delayMs: z._default(z.number().check(z.minimum(0)), 0),
    /** Number of following writes that take effect but get no reply. */
    loseReplies: z._default(z.int().check(z.minimum(0)), 0),
});

export type FaultPlan = z.infer<typeof FaultPlan>;
