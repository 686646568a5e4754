import type { Clock } from "../../common/Clock.js";

/**
 * An agent is ejected after this many different jobs have failed there first, without a success in between. Fewer would
 * not do, because tasks sometimes fail by their own fault. A task counts only at the agent where it failed first, so a
 * job that fails everywhere does not count against every agent.
 */
const FAILED_JOBS_UNTIL_EJECTION = 3;

/** Largest share of the agents that may be ejected at a time. If more agents fail, the jobs are at fault. */
const MAX_EJECTED_SHARE = 0.34;

const FIRST_EJECTION_MS = 700;
const MAX_EJECTION_MS = 4000;

interface FailureState {
    readonly failedJobs: Set<string>;
    ejectedUntil: number;
    ejectionMs: number;
}

/**
 * Outlier detection: ejects agents at which jobs fail. An ejected agent gets tasks again after a time that doubles with
 * each ejection until one of its tasks succeeds.
 */
export class AgentHealth {
    private readonly states = new Map<string, FailureState>();

    constructor(private readonly clock: Clock) {}

    /** Whether the agent may be given tasks: it is not ejected. */
    public isUsable(agent: string): boolean {
        return (this.states.get(agent)?.ejectedUntil ?? 0) <= this.clock.now();
    }

    /** Whether a job has failed at the agent since its last success. */
    public isSuspect(agent: string): boolean {
        return (this.states.get(agent)?.failedJobs.size ?? 0) > 0;
    }

    public recordSuccess(agent: string): void {
        this.states.delete(agent);
    }

    /** Records that a job failed at the agent, one of `agentCount`; returns true when that ejects the agent. */
    public recordFailure(agent: string, job: string, agentCount: number): boolean {
        const state = this.states.get(agent)
            ?? { failedJobs: new Set(), ejectedUntil: 0, ejectionMs: FIRST_EJECTION_MS };
        this.states.set(agent, state);
        state.failedJobs.add(job);
        if (state.failedJobs.size < FAILED_JOBS_UNTIL_EJECTION || !this.isUsable(agent) || !this.mayEject(agentCount)) {
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
        const ejected = [...this.states.keys()].filter(agent => !this.isUsable(agent)).length;
        return ejected + 1 <= MAX_EJECTED_SHARE * agentCount;
    }
}
