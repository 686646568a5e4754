import type { Health } from "./Health.js";

const EJECT_AFTER_FAILURES = 3;
const EJECT_AFTER_OVERDUE = 2;
const MAX_EJECTED_SHARE = 0.3;
const FIRST_PROBE_MS = 1000;
const MAX_PROBE_MS = 30_000;

interface AgentState {
    failures: number;
    overdue: number;
    ejectedAt: number | undefined;
    probeAt: number;
    probeIntervalMs: number;
    runningProbe: string | undefined;
}

/**
 * Ejects an agent after several failures or overdue tasks without a success in between; until then, each of them halves
 * the slots that the agent may use. If more agents fail than may be ejected, the service is at fault: then no agent is
 * throttled or ejected.
 */
export class ConsecutiveFailureHealth implements Health {
    private readonly agents = new Map<string, AgentState>();
    private ejectedCount = 0;
    private suspectCount = 0;

    public add(agent: string): void {
        this.remove(agent);
        this.agents.set(agent, {
            failures: 0,
            overdue: 0,
            ejectedAt: undefined,
            probeAt: 0,
            probeIntervalMs: FIRST_PROBE_MS,
            runningProbe: undefined,
        });
    }

    public remove(agent: string): void {
        const health = this.agents.get(agent);
        if (health !== undefined) {
            this.reset(health);
            this.agents.delete(agent);
            this.enforceEjectionLimit();
        }
    }

    public isEjected(agent: string): boolean {
        return this.agents.get(agent)?.ejectedAt !== undefined;
    }

    public accepts(agent: string, running: number, slots: number, now: number): boolean {
        const health = this.agents.get(agent);
        if (health === undefined) {
            return false;
        }
        if (health.ejectedAt !== undefined) {
            return this.isProbeDue(agent, now);
        }
        const throttled = isSuspect(health) && !this.isServiceWide();
        return !throttled || running < Math.max(1, slots >> (health.failures + health.overdue));
    }

    public isProbeDue(agent: string, now: number): boolean {
        const probeAt = this.probeAt(agent);
        return probeAt !== undefined && probeAt <= now;
    }

    public probeAt(agent: string): number | undefined {
        const health = this.agents.get(agent);
        const waits = health?.ejectedAt !== undefined && health.runningProbe === undefined;
        return waits ? health.probeAt : undefined;
    }

    public isSuspect(agent: string): boolean {
        const health = this.agents.get(agent);
        return health !== undefined && isSuspect(health);
    }

    public recordStart(agent: string, attempt: string, now: number): void {
        const health = this.agents.get(agent);
        if (health?.ejectedAt !== undefined && this.isProbeDue(agent, now)) {
            health.runningProbe = attempt;
        }
    }

    public recordSuccess(agent: string, attempt: string): void {
        const health = this.agents.get(agent);
        // Only the probe ends an ejection. If attempts started before it did, an agent that fails most tasks would be
        // back at once.
        if (health !== undefined && (health.ejectedAt === undefined || health.runningProbe === attempt)) {
            this.reset(health);
        }
    }

    public recordFailure(agent: string, attempt: string, now: number): void {
        const health = this.agents.get(agent);
        if (health === undefined) {
            return;
        }
        if (health.ejectedAt !== undefined) {
            this.endProbe(health, attempt, now, true);
            return;
        }
        this.suspectCount += isSuspect(health) ? 0 : 1;
        health.failures += 1;
        this.ejectIfUnhealthy(health, now);
    }

    public recordNeutralEnd(agent: string, attempt: string, now: number): void {
        const health = this.agents.get(agent);
        if (health !== undefined) {
            this.endProbe(health, attempt, now, false);
        }
    }

    public recordOverdue(agent: string, now: number): void {
        const health = this.agents.get(agent);
        if (health === undefined || health.ejectedAt !== undefined) {
            return;
        }
        this.suspectCount += isSuspect(health) ? 0 : 1;
        health.overdue += 1;
        this.ejectIfUnhealthy(health, now);
    }

    private endProbe(health: AgentState, attempt: string, now: number, failed: boolean): void {
        if (health.runningProbe !== attempt) {
            return;
        }
        health.runningProbe = undefined;
        health.probeIntervalMs = failed ? Math.min(MAX_PROBE_MS, health.probeIntervalMs * 2) : health.probeIntervalMs;
        health.probeAt = now + health.probeIntervalMs;
    }

    private ejectIfUnhealthy(health: AgentState, now: number): void {
        const unhealthy = health.failures >= EJECT_AFTER_FAILURES || health.overdue >= EJECT_AFTER_OVERDUE;
        if (unhealthy && this.ejectedCount + 1 <= this.maxEjected() && !this.isServiceWide()) {
            this.ejectedCount += 1;
            health.ejectedAt = now;
            health.probeIntervalMs = FIRST_PROBE_MS;
            health.probeAt = now + FIRST_PROBE_MS;
        }
    }

    private isServiceWide(): boolean {
        return this.suspectCount > this.maxEjected();
    }

    private maxEjected(): number {
        return Math.floor(this.agents.size * MAX_EJECTED_SHARE);
    }

    private reset(health: AgentState): void {
        this.suspectCount -= isSuspect(health) ? 1 : 0;
        this.ejectedCount -= health.ejectedAt === undefined ? 0 : 1;
        health.failures = 0;
        health.overdue = 0;
        health.ejectedAt = undefined;
        health.runningProbe = undefined;
    }

    /** Readmits ejected agents when the removal of others has made the ejected share too large. */
    private enforceEjectionLimit(): void {
        for (const health of this.agents.values()) {
            if (this.ejectedCount > this.maxEjected() && health.ejectedAt !== undefined) {
                this.reset(health);
            }
        }
    }
}

function isSuspect(health: AgentState): boolean {
    return health.failures > 0 || health.overdue > 0;
}
