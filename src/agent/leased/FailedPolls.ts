import type { Clock } from "../../common/Clock.js";
import { PollOutcome } from "./PollOutcome.js";

/**
 * Minimum interval between the starts of failed polls: it begins with the first value and doubles up to the second.
 * Such a poll costs a new connection. The endpoint lease outlasts four of them in a row.
 */
const MIN_RETRY_INTERVAL_MS = 40;
const MAX_RETRY_INTERVAL_MS = 160;

/**
 * Minimum time between two refused connections, with nothing else between them, after which the endpoint's process
 * counts as ended. A process that listens refuses none, because a full queue of new connections drops them; only a reset
 * of connections also refuses those that are being opened at that moment.
 */
const MIN_REFUSED_MS = 30;

/** Consecutive polls that were not answered with a run list. */
export class FailedPolls {
    private failures = 0;
    private refusedAt: number | undefined;

    constructor(private readonly clock: Clock) {}

    public get count(): number {
        return this.failures;
    }

    /** Minimum time from the start of a failed poll to the next one; 0 after a response of another incarnation. */
    public get retryIntervalMs(): number {
        return this.failures === 0
            ? 0
            : Math.min(MAX_RETRY_INTERVAL_MS, MIN_RETRY_INTERVAL_MS * 2 ** (this.failures - 1));
    }

    public reset(): void {
        this.failures = 0;
        this.refusedAt = undefined;
    }

    /** Records the outcome of a failed poll. */
    public record(outcome: PollOutcome): void {
        this.failures += 1;
        this.refusedAt = outcome === PollOutcome.Unreachable ? this.refusedAt ?? this.clock.now() : undefined;
    }

    /** Whether connections had been refused for long enough at `sentAt`, when the last poll was sent. */
    public refusedBefore(sentAt: number): boolean {
        return this.refusedAt !== undefined && sentAt - this.refusedAt >= MIN_REFUSED_MS;
    }
}
