import * as z from "zod/mini";

const MAX_NAME_CHARS = 64;

/** Name of a process, service, team, region, failure domain or rack. */
export const processName = z.string().check(
    z.minLength(1),
    z.maxLength(MAX_NAME_CHARS),
    z.regex(/^[\p{L}\p{N}._-]+$/u, "expected letters, digits, dots, underscores and hyphens"),
);
