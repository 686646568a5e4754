/** One worker of a profile. */
export interface WorkerProfile {
    readonly id: string;
    readonly rack: string;
    readonly failureDomain: string;
    readonly slots: number;
    readonly connections: number;
    /** Nominal run times are divided by it. */
    readonly speed: number;
}
