import type { EntryError } from "./EntryError.js";

/** One line for people about a failed request. */
export function describeError(error: EntryError): string {
    const place = error.path === undefined ? "" : ` at ${error.path}`;
    const retry = error.retryAfterMs === undefined ? "" : `, retry after ${error.retryAfterMs} ms`;
    return `${error.code}${place}: ${error.message} (verdict ${error.verdict}${retry})`;
}
