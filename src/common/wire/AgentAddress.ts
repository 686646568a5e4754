/** One agent process: its listening address and the incarnation that holds its records. */
export interface AgentAddress {
    /** `ip:port` of the agent's listener. */
    readonly address: string;
    readonly incarnation: string;
}
