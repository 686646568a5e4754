/**
 * State of the scheduler when a job arrives, as far as it concerns the job and its team; input of the admission
 * control.
 */
export interface AdmissionContext {
    readonly queued: number;
    readonly queuedMs: number;
    /** Queued and running tasks of the team. */
    readonly teamTasks: number;
    readonly teamQueuedMs: number;
    /** Queued work of the team that sorts before the job, in milliseconds. */
    readonly teamBeforeMs: number;
    /** Time by which the job may delay other jobs of its team without making one late; Infinity when it delays none. */
    readonly teamSlackMs: number;
    /** Service that the team is owed, because it was idle and left its share to others, in milliseconds. */
    readonly teamLagMs: number;
    /** Share of the service to which the team is entitled among the teams with queued work, 0 to 1. */
    readonly teamShare: number;
    /** Slots on agents that accept work. */
    readonly slots: number;
    /** Number of the job's agents that accept work. */
    readonly agents: number;
    /** Expected work of the job, and of its longest task, in milliseconds. */
    readonly jobMs: number;
    readonly longestTaskMs: number;
    readonly shortestObservedMs: number;
}
