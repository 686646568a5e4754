import type { Either } from "purify-ts/Either";
import { EntryClient } from "./EntryClient.js";
import type { EntryError } from "./EntryError.js";
import type { EntryOptions } from "./EntryOptions.js";

/** Calls the entries in turn until one responds with a result or a refusal. For calls that may be repeated only. */
export async function callAnyEntry<T>(
    options: EntryOptions,
    call: (client: EntryClient) => Promise<Either<EntryError, T>>,
): Promise<Either<EntryError, T>> {
    const [first = "", ...others] = options.entry;
    let result = await call(new EntryClient(first, options.token));
    for (const url of others) {
        const unreachable = result.swap().map(error => error.unreachable).orDefault(false);
        if (!unreachable) {
            return result;
        }
        result = await call(new EntryClient(url, options.token));
    }
    return result;
}
