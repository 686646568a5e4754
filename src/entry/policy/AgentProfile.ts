/** Agent as the scheduler knows it. */
export interface AgentProfile {
    /** Agent incarnation: a restarted agent is another one. */
    readonly id: string;
    readonly worker: string;
    readonly rack: string;
    readonly failureDomain: string;
    readonly slots: number;
}
