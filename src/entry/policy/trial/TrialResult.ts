/** Results of a trial. Times are in milliseconds of virtual time. */
export interface TrialResult {
    readonly jobs: readonly {
        readonly id: string;
        readonly team: string;
        readonly at: number;
        /** Undefined if the job was refused or missed its deadline. */
        readonly responseMs: number | undefined;
        readonly refused: boolean;
        readonly workMs: number;
        readonly tasks: number;
        /** Runs of its tasks on the agents. */
        readonly executions: readonly { readonly task: number; readonly startedAt: number; readonly runMs: number; }[];
    }[];
    /** Waiting time of each start. */
    readonly waits: readonly { readonly runMs: number; readonly jobTasks: number; readonly waitMs: number; }[];
    /** Slot time used by each task, with its team and the time of its end. */
    readonly service: readonly { readonly team: string; readonly at: number; readonly usedMs: number; }[];
    readonly starts: number;
    readonly virtualMs: number;
    /** Real time spent in calls of the scheduler, in milliseconds. */
    readonly schedulerMs: number;
    readonly maxQueued: number;
}
