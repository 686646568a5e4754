import type { Random } from "../../common/Random.js";
import type { Retry } from "./Retry.js";

const BUDGET_PER_START = 0.1;
/** Most retries in a burst after a quiet time, and the budget of a new entry. */
const MAX_BUDGET = 10;
const MIN_BACKOFF_MS = 10;
const MAX_BACKOFF_MS = 1000;
/** Bounds what one task that always fails takes from the budget of all. */
const MAX_FAILURES = 4;
const MAX_DOUBLINGS = 7;

/** Token bucket of a tenth of the starts, with exponential back-off and full jitter. */
export class BudgetedRetry implements Retry {
    private budget = MAX_BUDGET;

    constructor(private readonly random: Random) {}

    public started(): void {
        this.budget = Math.min(MAX_BUDGET, this.budget + BUDGET_PER_START);
    }

    public afterFailure(failures: number): number | undefined {
        if (this.budget < 1 || failures >= MAX_FAILURES) {
            return undefined;
        }
        this.budget -= 1;
        return this.random.next() * ceilingMs(failures);
    }

    /** Never below the shortest back-off, so that a task does not circulate between agents that refuse it. */
    public afterRefusal(refusals: number): number {
        return MIN_BACKOFF_MS + this.random.next() * (ceilingMs(refusals) - MIN_BACKOFF_MS);
    }
}

function ceilingMs(count: number): number {
    return Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2 ** Math.min(MAX_DOUBLINGS, count));
}
