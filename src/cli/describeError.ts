import type { EntryError } from "./EntryError.js";

/** Formats a failed request as text, with one more line for each validation error of a malformed body. */
export function describeError(error: EntryError): string {
    const place = error.path === undefined ? "" : ` at ${error.path}`;
    const retry = error.retryAfterMs === undefined ? "" : `, retry after ${error.retryAfterMs} ms`;
    const faults = (error.faults ?? []).map(fault => `\n  ${fault.path}: ${fault.message}`).join("");
    return `${error.code}${place}: ${error.message} (verdict ${error.verdict}${retry})${faults}`;
}
