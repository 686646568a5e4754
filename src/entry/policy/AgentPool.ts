import type { AgentEntry } from "./AgentEntry.js";
import type { AgentProfile } from "./AgentProfile.js";
import type { Health } from "./Health.js";

/** Agents of one service with their credits. Placement only looks at those that have unused credits. */
export class AgentPool {
    private readonly agents = new Map<string, AgentEntry>();
    private readonly withCredits = new Set<AgentEntry>();
    private unusedCredits = 0;

    constructor(private readonly health: Health) {}

    /** Unused credits of all agents. */
    public get freeCredits(): number {
        return this.unusedCredits;
    }

    public get(id: string): AgentEntry | undefined {
        return this.agents.get(id);
    }

    public all(): Iterable<AgentEntry> {
        return this.agents.values();
    }

    public add(profile: AgentProfile): void {
        this.remove(profile.id);
        const agent = { profile, credits: 0, running: 0, draining: false, refusals: 0, backoffUntil: 0 };
        this.agents.set(profile.id, agent);
        this.health.add(profile.id);
    }

    public remove(id: string): void {
        const agent = this.agents.get(id);
        if (agent !== undefined) {
            this.unusedCredits -= agent.credits;
            this.agents.delete(id);
            this.withCredits.delete(agent);
            this.health.remove(id);
        }
    }

    /** Changes the credits of an agent; they never fall below zero. */
    public addCredits(agent: AgentEntry, delta: number): void {
        const credits = Math.max(0, agent.credits + delta);
        this.unusedCredits += credits - agent.credits;
        agent.credits = credits;
        if (credits > 0 && this.agents.get(agent.profile.id) === agent) {
            this.withCredits.add(agent);
        }
        else {
            this.withCredits.delete(agent);
        }
    }

    /** Agents that may take a task now. */
    public accepting(now: number): AgentEntry[] {
        return [...this.withCredits].filter(agent => this.accepts(agent, now));
    }

    /** Slots of all agents that are neither draining nor ejected, and how many of the agents `ids` are among those. */
    public capacity(ids: ReadonlySet<string>): { readonly slots: number; readonly agents: number; } {
        let slots = 0;
        let agents = 0;
        for (const agent of this.agents.values()) {
            if (!agent.draining && !this.health.isEjected(agent.profile.id)) {
                slots += agent.credits + agent.running;
                agents += ids.has(agent.profile.id) ? 1 : 0;
            }
        }
        return { slots, agents };
    }

    /** Earliest time after `now` at which an agent with unused credits can take tasks again; Infinity for never. */
    public nextUsableAt(now: number): number {
        let earliest = Infinity;
        for (const agent of this.withCredits) {
            if (!agent.draining) {
                const probeAt = this.health.probeAt(agent.profile.id) ?? 0;
                const at = Math.max(agent.backoffUntil, probeAt);
                earliest = at > now ? Math.min(earliest, at) : earliest;
            }
        }
        return earliest;
    }

    private accepts(agent: AgentEntry, now: number): boolean {
        const { id, slots } = agent.profile;
        return agent.credits > 0 && !agent.draining && agent.backoffUntil <= now
            && this.health.accepts(id, agent.running, slots, now);
    }
}
