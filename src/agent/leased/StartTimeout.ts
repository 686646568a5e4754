/** Weight of one response in the mean. */
const WEIGHT = 0.1;

/** Responses that take longer than this multiple of the mean count as lost. */
const TIMEOUT_FACTOR = 5;

const MIN_TIMEOUT_MS = 40;
const MAX_TIMEOUT_MS = 200;
const FIRST_MEAN_MS = 15;

/**
 * Time after which a start counts as unanswered, learned from earlier responses so that a slow agent does not time out
 * too early.
 */
export class StartTimeout {
    private meanMs = FIRST_MEAN_MS;

    public get timeoutMs(): number {
        return Math.round(Math.min(MAX_TIMEOUT_MS, Math.max(MIN_TIMEOUT_MS, this.meanMs * TIMEOUT_FACTOR)));
    }

    /** Adds the latency of a response, or the time waited without one. */
    public observe(elapsedMs: number): void {
        this.meanMs += WEIGHT * (elapsedMs - this.meanMs);
    }
}
