/** Properties of an agent that the scheduler uses. */
export interface AgentProfile {
    /** Incarnation of the agent's process: after a restart, it counts as another agent. */
    readonly id: string;
    readonly worker: string;
    readonly rack: string;
    readonly failureDomain: string;
    readonly slots: number;
}
