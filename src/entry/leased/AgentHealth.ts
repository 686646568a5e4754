import type { Clock } from "../../common/Clock.js";

/**
 * Jobs in a row that fail first at one agent before it is ejected. Jobs that fail everywhere are counted at one agent only,
 * and tasks fail by their own fault at times.
 */
const JOBS_UNTIL_EJECTED = 3;

/** Most agents that may be ejected at a time, as a share; beyond it the jobs are at fault. */
const MAX_EJECTED_SHARE = 0.34;

const FIRST_EJECTION_MS = 700;
const MAX_EJECTION_MS = 4000;

interface State {
    readonly jobs: Set<string>;
    ejectedUntil: number;
    ejectionMs: number;
}

/** Remembers which agents fail what they are given. An ejected agent gets tasks again after a growing pause. */
export class AgentHealth {
    private readonly states = new Map<string, State>();

    constructor(private readonly clock: Clock) {}

    /** Whether the agent is to be given tasks. */
    public sound(agent: string): boolean {
        return (this.states.get(agent)?.ejectedUntil ?? 0) <= this.clock.now();
    }

    /** Whether the agent has failed lately without a success since. */
    public suspect(agent: string): boolean {
        return (this.states.get(agent)?.jobs.size ?? 0) > 0;
    }

    public succeeded(agent: string): void {
        this.states.delete(agent);
    }

    /** Notes that a job failed at the agent, one of `agentCount`; returns true when that ejects the agent. */
    public failed(agent: string, job: string, agentCount: number): boolean {
        const state = this.states.get(agent) ?? { jobs: new Set(), ejectedUntil: 0, ejectionMs: FIRST_EJECTION_MS };
        this.states.set(agent, state);
        state.jobs.add(job);
        if (state.jobs.size < JOBS_UNTIL_EJECTED || !this.sound(agent) || !this.mayEject(agentCount)) {
            return false;
        }
        state.ejectedUntil = this.clock.now() + state.ejectionMs;
        state.ejectionMs = Math.min(MAX_EJECTION_MS, state.ejectionMs * 2);
        return true;
    }

    public forget(agent: string): void {
        this.states.delete(agent);
    }

    private mayEject(agentCount: number): boolean {
        const ejected = [...this.states.keys()].filter(agent => !this.sound(agent)).length;
        return ejected + 1 <= MAX_EJECTED_SHARE * agentCount;
    }
}
