/** State of a scheduler for operators. */
export interface SchedulerSnapshot {
    readonly agents: readonly {
        readonly id: string;
        /** Run time relative to the average of the service's agents: 2 takes twice as long. */
        readonly speed: number;
        readonly ejected: boolean;
        readonly draining: boolean;
        readonly credits: number;
        readonly running: number;
    }[];
    readonly teams: readonly { readonly team: string; readonly queued: number; readonly running: number; }[];
}
