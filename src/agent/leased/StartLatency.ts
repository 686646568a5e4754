/** Weight of one answer in the mean. */
const WEIGHT = 0.1;

/** Answers slower than this many times the mean are taken as lost. */
const FACTOR = 5;

const MIN_TIMEOUT_MS = 40;
const MAX_TIMEOUT_MS = 200;
const FIRST_MEAN_MS = 15;

/** Time after which a start counts as unanswered, learnt from the answers so that a slow agent does not give up early. */
export class StartLatency {
    private meanMs = FIRST_MEAN_MS;

    public get timeoutMs(): number {
        return Math.round(Math.min(MAX_TIMEOUT_MS, Math.max(MIN_TIMEOUT_MS, this.meanMs * FACTOR)));
    }

    /** Takes the time of an answer, or of a wait without one. */
    public observe(elapsedMs: number): void {
        this.meanMs += WEIGHT * (elapsedMs - this.meanMs);
    }
}
