import type { JobHistoryEntry } from "../../common/job/JobHistoryEntry.js";
import type { Log } from "../../common/log/Log.js";
import type { LogEvent } from "../../common/log/LogEvent.js";

/** Maximum number of steps kept per job; a job of 400 tasks needs about 900 without retries. */
const MAX_STEPS_PER_JOB = 2000;

/** Maximum number of steps kept in total; the oldest histories are dropped whole. */
const MAX_STEPS = 200_000;

type Details = Pick<JobHistoryEntry, "task" | "attempt" | "agent" | "detail">;

/** Keeps the history of each job for operators: its steps in order. Each step is also one log line. */
export class JobHistories {
    private readonly steps = new Map<string, JobHistoryEntry[]>();
    private total = 0;

    constructor(private readonly source: string, private readonly log: Log) {}

    /** Logs a step of the job with the given ticket key and adds it to the job's history. */
    public record(key: string, event: LogEvent, details: Details = {}): void {
        this.log.write(event, { ticket: key, ...details });
        const history = this.steps.get(key) ?? [];
        this.steps.set(key, history);
        if (history.length >= MAX_STEPS_PER_JOB) {
            return;
        }
        history.push({ at: Date.now(), source: this.source, event: event.number, text: event.text, ...details });
        this.total += 1;
        this.dropOldest();
    }

    public get(key: string): readonly JobHistoryEntry[] | undefined {
        return this.steps.get(key);
    }

    private dropOldest(): void {
        for (const [key, history] of this.steps) {
            if (this.total <= MAX_STEPS) {
                return;
            }
            this.steps.delete(key);
            this.total -= history.length;
        }
    }
}
