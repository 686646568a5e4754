import type { Random } from "../../common/Random.js";

/** Times to tell refused callers to stay away, in milliseconds; each gets one between, so that they return spread out. */
const MIN_RETRY_AFTER_MS = 1000;
const MAX_RETRY_AFTER_MS = 3000;

/** Time that a refused caller is to stay away, in whole milliseconds. */
export function pickRetryAfter(random: Random): number {
    return Math.round(MIN_RETRY_AFTER_MS + random.next() * (MAX_RETRY_AFTER_MS - MIN_RETRY_AFTER_MS));
}
