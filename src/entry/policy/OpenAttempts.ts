import { Verdict } from "../../common/Verdict.js";
import { attemptKey } from "./attemptKey.js";
import type { AttemptReport } from "./AttemptReport.js";
import type { QueuedTask } from "./QueuedTask.js";

/** Running attempts of the baseline schedulers, which retry only attempts that were not run, until the deadline. */
export class OpenAttempts {
    private readonly attempts = new Map<string, QueuedTask>();

    public get size(): number {
        return this.attempts.size;
    }

    public open(task: QueuedTask): void {
        this.attempts.set(attemptKey(task), task);
    }

    public has(report: AttemptReport): boolean {
        return this.attempts.has(attemptKey(report));
    }

    /** Ends an attempt and returns the task if it is to be queued again. */
    public close(report: AttemptReport, now: number): QueuedTask | undefined {
        const key = attemptKey(report);
        const task = this.attempts.get(key);
        this.attempts.delete(key);
        if (task === undefined || report.verdict !== Verdict.NotRun || now >= task.deadlineAt) {
            return undefined;
        }
        return { ...task, attempt: task.attempt + 1 };
    }
}
