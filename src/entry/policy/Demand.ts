/** What the scheduler holds when a job arrives, from the view of the job's team. */
export interface Demand {
    readonly queued: number;
    readonly queuedMs: number;
    /** Queued and running tasks of the team. */
    readonly teamTasks: number;
    readonly teamQueuedMs: number;
    /** The part of it that goes before the job. */
    readonly teamBeforeMs: number;
    /** Time by which the job may delay other jobs of its team without making one late; Infinity when it delays none. */
    readonly teamSlackMs: number;
    /** Service that the team may claim before others, because it left that to them. */
    readonly teamClaimMs: number;
    /** Share of service due to the team among the teams with queued work, 0 to 1. */
    readonly teamShare: number;
    /** Slots on agents that accept work. */
    readonly slots: number;
    /** Agents of the job that accept work. */
    readonly agents: number;
    /** Expected work of the job, and of its longest task, in milliseconds. */
    readonly jobMs: number;
    readonly longestMs: number;
    readonly shortestObservedMs: number;
}
