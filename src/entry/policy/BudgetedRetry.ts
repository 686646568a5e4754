import type { Random } from "../../common/Random.js";
import type { Retry } from "./Retry.js";

const BUDGET_PER_START = 0.1;
/** Largest number of retries in a burst after a time without failures, and the initial budget. */
const MAX_BUDGET = 10;
const MIN_BACKOFF_MS = 10;
const MAX_BACKOFF_MS = 1000;
/** Limits how much of the budget, which all tasks share, goes to one task that always fails. */
const MAX_FAILURES = 4;
const MAX_DOUBLINGS = 7;

/** Retry budget: a token bucket that each first start fills by a tenth, with exponential back-off and full jitter. */
export class BudgetedRetry implements Retry {
    private budget = MAX_BUDGET;

    constructor(private readonly random: Random) {}

    public recordFirstStart(): void {
        this.budget = Math.min(MAX_BUDGET, this.budget + BUDGET_PER_START);
    }

    public afterFailure(failures: number): number | undefined {
        if (this.budget < 1 || failures >= MAX_FAILURES) {
            return undefined;
        }
        this.budget -= 1;
        return this.random.next() * maxBackoffMs(failures);
    }

    /**
     * Never shorter than the minimum back-off, so that a task does not go round quickly between agents that refuse it.
     */
    public afterRefusal(refusals: number): number {
        return MIN_BACKOFF_MS + this.random.next() * (maxBackoffMs(refusals) - MIN_BACKOFF_MS);
    }
}

function maxBackoffMs(count: number): number {
    return Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2 ** Math.min(MAX_DOUBLINGS, count));
}
