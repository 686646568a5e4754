/** Limits and weights of one service, from the configuration in force. */
export interface SchedulerLimits {
    readonly maxQueuedTasks: number;
    /** Longest declared size of a task that the service can run, in milliseconds. */
    readonly maxTaskMs: number;
    /** Share of the slots that long tasks leave free for shorter ones, 0 to 0.9. */
    readonly reservedShare: number;
    /** Weight and quota of a team; undefined for an unknown team. */
    team(name: string): { readonly weight: number; readonly maxTasks: number; } | undefined;
}
