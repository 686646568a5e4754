import * as z from "zod/mini";

/** Body of `POST /v1/transactions`. A write without a value deletes the row. */
export const TransactionBody = z.strictObject({
    conditions: z.array(z.strictObject({ key: z.string(), revision: z.int().check(z.minimum(0)) })),
    writes: z.array(z.strictObject({ key: z.string(), value: z.optional(z.unknown()) })),
});

export type TransactionBody = z.infer<typeof TransactionBody>;
