import type { Clock } from "../../common/Clock.js";

/** Failures in a row after which an agent gets no tasks for a while; single tasks fail by their own fault at times. */
const FAILURES_UNTIL_EJECTED = 2;

const FIRST_EJECTION_MS = 700;
const MAX_EJECTION_MS = 4000;

interface State {
    failures: number;
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
        return (this.states.get(agent)?.failures ?? 0) > 0;
    }

    public succeeded(agent: string): void {
        this.states.delete(agent);
    }

    /** Notes a failure; returns true when it ejects the agent. */
    public failed(agent: string): boolean {
        const state = this.states.get(agent) ?? { failures: 0, ejectedUntil: 0, ejectionMs: FIRST_EJECTION_MS };
        this.states.set(agent, state);
        state.failures += 1;
        if (state.failures < FAILURES_UNTIL_EJECTED || state.ejectedUntil > this.clock.now()) {
            return false;
        }
        state.ejectedUntil = this.clock.now() + state.ejectionMs;
        state.ejectionMs = Math.min(MAX_EJECTION_MS, state.ejectionMs * 2);
        return true;
    }

    public forget(agent: string): void {
        this.states.delete(agent);
    }
}
