interface AgentState {
    credits: number;
    draining: boolean;
}

/** Credits and drain state of agents, for schedulers that use nothing else about them. */
export class CreditTable {
    private readonly agents = new Map<string, AgentState>();

    public add(id: string): void {
        this.agents.set(id, { credits: 0, draining: false });
    }

    public remove(id: string): void {
        this.agents.delete(id);
    }

    public addCredits(id: string, delta: number): void {
        const agent = this.agents.get(id);
        if (agent !== undefined) {
            agent.credits = Math.max(0, agent.credits + delta);
        }
    }

    public credits(id: string): number {
        return this.agents.get(id)?.credits ?? 0;
    }

    public drain(id: string): void {
        const agent = this.agents.get(id);
        if (agent !== undefined) {
            agent.draining = true;
        }
    }

    /** Whether the agent may start a task now. */
    public isFree(id: string): boolean {
        return this.accepts(id) && this.credits(id) > 0;
    }

    /** Whether the agent is known and not draining. */
    public accepts(id: string): boolean {
        return this.agents.get(id)?.draining === false;
    }

    public ids(): Iterable<string> {
        return this.agents.keys();
    }
}
