import type { Clock } from "../../common/Clock.js";
import type { JobAnswer } from "../../common/job/JobAnswer.js";

const KEEP_MS = 600_000;

/** Maximum size of all answers that are kept for late callers, as JSON text. */
const MAX_KEPT_BYTES = 64 * 1024 * 1024;

/** Estimated memory of a finished job without its answer: the ticket with up to 64 agents and the map entries. */
const JOB_OVERHEAD_BYTES = 8192;

interface RetainedAnswer {
    readonly bytes: number;
    readonly until: number;
}

/** Drops final answers after 10 minutes, or earlier when they exceed the size limit; an answer is never cut short. */
export class AnswerRetention {
    private readonly retained = new Map<string, RetainedAnswer>();
    private bytes = 0;

    constructor(
        private readonly clock: Clock,
        private readonly drop: (key: string) => void,
        private readonly maxBytes: number = MAX_KEPT_BYTES,
    ) {}

    /** Adds a final answer and drops the oldest ones that are over the limits. */
    public add(key: string, answer: JobAnswer): void {
        const bytes = JSON.stringify(answer).length + JOB_OVERHEAD_BYTES;
        this.retained.set(key, { bytes, until: this.clock.now() + KEEP_MS });
        this.bytes += bytes;
        this.sweep();
    }

    /** Drops answers that are over the limits, oldest first. */
    public sweep(): void {
        const now = this.clock.now();
        for (const [key, entry] of this.retained) {
            if (entry.until > now && this.bytes <= this.maxBytes) {
                return;
            }
            this.retained.delete(key);
            this.bytes -= entry.bytes;
            this.drop(key);
        }
    }
}
