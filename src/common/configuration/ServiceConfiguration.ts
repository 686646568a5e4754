/** Settings of one service, owned by the team whose section declares it. Absent values take the stated default. */
export interface ServiceConfiguration {
    /** Number of shards that its agents are divided into; default 1. */
    readonly shards: number;
    /** Maximum number of tasks in one job; default 400. */
    readonly maxTasksPerJob: number;
    /** Maximum payload of one task as JSON text, in bytes; default 65,536. */
    readonly maxPayloadBytes: number;
    /** Longest deadline that a caller may request, in milliseconds; default 600,000. */
    readonly maxDeadlineMs: number;
    /** Longest declared size of a task that the service can run, in milliseconds; default 600,000. */
    readonly maxTaskMs: number;
    /** Maximum number of tasks queued at the home entry; default 20,000. */
    readonly maxQueuedTasks: number;
    /** Share of slots that long tasks leave free for shorter ones, 0 to 0.9; default 0.2. */
    readonly reservedShare: number;
}
