import type { Clock } from "../../common/Clock.js";
import type { JobAnswer } from "../../common/job/JobAnswer.js";

const KEEP_MS = 600_000;

/** Most bytes of answers kept for late callers, as JSON text. */
const MAX_KEPT_BYTES = 64 * 1024 * 1024;

/** Estimated memory of a finished job beside its answer: the ticket with up to 64 agents and the map entries. */
const JOB_OVERHEAD_BYTES = 8192;

interface Kept {
    readonly bytes: number;
    readonly until: number;
}

/** Decides how long final answers are kept: 10 minutes, or less when the byte bound is reached; always whole. */
export class KeptAnswers {
    private readonly kept = new Map<string, Kept>();
    private bytes = 0;

    constructor(
        private readonly clock: Clock,
        private readonly drop: (key: string) => void,
        private readonly maxBytes: number = MAX_KEPT_BYTES,
    ) {}

    /** Adds a final answer and drops the oldest ones that are over the limits. */
    public add(key: string, answer: JobAnswer): void {
        const bytes = JSON.stringify(answer).length + JOB_OVERHEAD_BYTES;
        this.kept.set(key, { bytes, until: this.clock.now() + KEEP_MS });
        this.bytes += bytes;
        this.sweep();
    }

    /** Drops answers that are over the limits, oldest first. */
    public sweep(): void {
        const now = this.clock.now();
        for (const [key, entry] of this.kept) {
            if (entry.until > now && this.bytes <= this.maxBytes) {
                return;
            }
            this.kept.delete(key);
            this.bytes -= entry.bytes;
            this.drop(key);
        }
    }
}
