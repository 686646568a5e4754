import type { Clock } from "../../common/Clock.js";
import type { RunCompletion } from "../../common/leased/RunCompletion.js";

/** Time for which a reported end is kept, in milliseconds; any lease of its run has expired by then. */
const RETENTION_MS = 3000;

interface ReportedEnd {
    readonly completion: RunCompletion;
    readonly reportedAt: number;
}

/**
 * Recent ends of runs that were reported to entries. An entry places the task elsewhere after such a report, so a run
 * list that was requested later and still shows a run of the task contradicts it.
 */
export class ReportedEnds {
    /** Ends by task, oldest first. */
    private readonly byTask = new Map<string, ReportedEnd>();

    constructor(private readonly clock: Clock) {}

    /** Records that `completion` is reported now. */
    public add(completion: RunCompletion): void {
        this.dropOld();
        this.byTask.delete(completion.task);
        this.byTask.set(completion.task, { completion, reportedAt: this.clock.now() });
    }

    /**
     * Returns the report that a list requested at `sentAt` contradicts by showing a run of `task`, and drops it;
     * undefined if there is none.
     */
    public takeContradicted(task: string, sentAt: number): ReportedEnd | undefined {
        const end = this.byTask.get(task);
        if (end === undefined || end.reportedAt >= sentAt) {
            return undefined;
        }
        this.byTask.delete(task);
        return end;
    }

    private dropOld(): void {
        const oldest = this.clock.now() - RETENTION_MS;
        for (const [task, { reportedAt }] of this.byTask) {
            if (reportedAt >= oldest) {
                return;
            }
            this.byTask.delete(task);
        }
    }
}
