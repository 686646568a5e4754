/** What became of a job or task of a trial, in milliseconds of virtual time. */
export interface TrialResult {
    readonly jobs: readonly {
        readonly id: string;
        readonly team: string;
        readonly at: number;
        /** Undefined when the job was refused or expired. */
        readonly responseMs: number | undefined;
        readonly refused: boolean;
        readonly workMs: number;
        readonly tasks: number;
        /** Runs of its tasks at the agents. */
        readonly executions: readonly { readonly task: number; readonly startedAt: number; readonly runMs: number; }[];
    }[];
    /** Wait of each first start. */
    readonly waits: readonly { readonly runMs: number; readonly jobTasks: number; readonly waitMs: number; }[];
    /** Time of slots used by each team's tasks, with the time of their end. */
    readonly service: readonly { readonly team: string; readonly at: number; readonly usedMs: number; }[];
    readonly starts: number;
    readonly virtualMs: number;
    /** Time that the scheduler's calls took, in milliseconds. */
    readonly schedulerMs: number;
    readonly maxQueued: number;
}
