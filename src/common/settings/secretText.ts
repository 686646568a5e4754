import * as z from "zod/mini";

const MIN_SECRET_CHARS = 16;

/** Shared secret or token; at least 16 characters. */
export const secretText = z.string().check(z.minLength(MIN_SECRET_CHARS));
