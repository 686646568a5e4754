import type { Random } from "../../common/Random.js";

/**
 * Bounds of the random time after which a refused caller may retry. It is random so that callers do not return all at
 * once.
 */
const MIN_RETRY_AFTER_MS = 1000;
const MAX_RETRY_AFTER_MS = 3000;

/** Returns the time after which a refused caller may retry, in whole milliseconds. */
export function pickRetryAfter(random: Random): number {
    return Math.round(MIN_RETRY_AFTER_MS + random.next() * (MAX_RETRY_AFTER_MS - MIN_RETRY_AFTER_MS));
}
