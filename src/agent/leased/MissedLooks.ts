import type { Clock } from "../../common/Clock.js";
import { PollOutcome } from "./PollOutcome.js";

/**
 * Least time between the starts of two looks that were refused or broken off: the first, and the longest after it has
 * doubled each time. Such a look costs a new connection. Four of them in a row leave the lease in force.
 */
const FIRST_RETRY_MS = 40;
const MAX_RETRY_MS = 160;

/**
 * Time from a refused connection to the next refused one, with nothing else between them, after which the endpoint's
 * process is taken as ended. A reset of connections also refuses those that are being opened at that moment.
 */
const REFUSED_MS = 30;

/** Looks in a row that were not answered with a list. */
export class MissedLooks {
    private missed = 0;
    private refusedAt: number | undefined;

    constructor(private readonly clock: Clock) {}

    public get count(): number {
        return this.missed;
    }

    /** Time from the start of a missed look to the next one; none after an answer of another life. */
    public get retryMs(): number {
        return this.missed === 0 ? 0 : Math.min(MAX_RETRY_MS, FIRST_RETRY_MS * 2 ** (this.missed - 1));
    }

    public reset(): void {
        this.missed = 0;
        this.refusedAt = undefined;
    }

    /** Takes the outcome of a missed look. */
    public add(outcome: PollOutcome): void {
        this.missed += 1;
        this.refusedAt = outcome === PollOutcome.Unreachable ? this.refusedAt ?? this.clock.now() : undefined;
    }

    /** Whether connections have been refused for long enough before `sentAt`, when the last look was sent. */
    public refusedBefore(sentAt: number): boolean {
        return this.refusedAt !== undefined && sentAt - this.refusedAt >= REFUSED_MS;
    }
}
