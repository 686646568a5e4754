import type { Health } from "./Health.js";

const EJECT_AFTER_FAILURES = 3;
const EJECT_AFTER_OVERDUE = 2;
const MAX_EJECTED_SHARE = 0.3;
const FIRST_PROBE_MS = 1000;
const MAX_PROBE_MS = 30_000;

interface AgentHealth {
    failures: number;
    overdue: number;
    ejectedAt: number | undefined;
    probeAt: number;
    intervalMs: number;
    probe: string | undefined;
}

/**
 * Ejects after failures in a row or overdue tasks. Failures on more agents than may be ejected are failures of the
 * service: then nobody is throttled or newly ejected.
 */
export class StreakHealth implements Health {
    private readonly agents = new Map<string, AgentHealth>();
    private ejectedCount = 0;
    private suspects = 0;

    public add(agent: string): void {
        this.remove(agent);
        this.agents.set(agent, {
            failures: 0,
            overdue: 0,
            ejectedAt: undefined,
            probeAt: 0,
            intervalMs: FIRST_PROBE_MS,
            probe: undefined,
        });
    }

    public remove(agent: string): void {
        const health = this.agents.get(agent);
        if (health !== undefined) {
            this.clear(health);
            this.agents.delete(agent);
            this.keepBound();
        }
    }

    public ejected(agent: string): boolean {
        return this.agents.get(agent)?.ejectedAt !== undefined;
    }

    public accepts(agent: string, running: number, slots: number, now: number): boolean {
        const health = this.agents.get(agent);
        if (health === undefined) {
            return false;
        }
        if (health.ejectedAt !== undefined) {
            return this.probeDue(agent, now);
        }
        const throttled = isSuspect(health) && !this.isGeneral();
        return !throttled || running < Math.max(1, slots >> (health.failures + health.overdue));
    }

    public probeDue(agent: string, now: number): boolean {
        const probeAt = this.probeAt(agent);
        return probeAt !== undefined && probeAt <= now;
    }

    public probeAt(agent: string): number | undefined {
        const health = this.agents.get(agent);
        const waits = health?.ejectedAt !== undefined && health.probe === undefined;
        return waits ? health.probeAt : undefined;
    }

    public suspect(agent: string): boolean {
        const health = this.agents.get(agent);
        return health !== undefined && isSuspect(health);
    }

    public started(agent: string, attempt: string, now: number): void {
        const health = this.agents.get(agent);
        if (health?.ejectedAt !== undefined && this.probeDue(agent, now)) {
            health.probe = attempt;
        }
    }

    public succeeded(agent: string, attempt: string): void {
        const health = this.agents.get(agent);
        // Attempts from before the ejection do not end it: an agent that fails most tasks would come back at once.
        if (health !== undefined && (health.ejectedAt === undefined || health.probe === attempt)) {
            this.clear(health);
        }
    }

    public failed(agent: string, attempt: string, now: number): void {
        const health = this.agents.get(agent);
        if (health === undefined) {
            return;
        }
        if (health.ejectedAt !== undefined) {
            this.endProbe(health, attempt, now, true);
            return;
        }
        this.suspects += isSuspect(health) ? 0 : 1;
        health.failures += 1;
        this.ejectIfSick(health, now);
    }

    public ended(agent: string, attempt: string, now: number): void {
        const health = this.agents.get(agent);
        if (health !== undefined) {
            this.endProbe(health, attempt, now, false);
        }
    }

    public overdue(agent: string, now: number): void {
        const health = this.agents.get(agent);
        if (health === undefined || health.ejectedAt !== undefined) {
            return;
        }
        this.suspects += isSuspect(health) ? 0 : 1;
        health.overdue += 1;
        this.ejectIfSick(health, now);
    }

    private endProbe(health: AgentHealth, attempt: string, now: number, failed: boolean): void {
        if (health.probe !== attempt) {
            return;
        }
        health.probe = undefined;
        health.intervalMs = failed ? Math.min(MAX_PROBE_MS, health.intervalMs * 2) : health.intervalMs;
        health.probeAt = now + health.intervalMs;
    }

    private ejectIfSick(health: AgentHealth, now: number): void {
        const sick = health.failures >= EJECT_AFTER_FAILURES || health.overdue >= EJECT_AFTER_OVERDUE;
        if (sick && this.ejectedCount + 1 <= this.maxEjected() && !this.isGeneral()) {
            this.ejectedCount += 1;
            health.ejectedAt = now;
            health.intervalMs = FIRST_PROBE_MS;
            health.probeAt = now + FIRST_PROBE_MS;
        }
    }

    private isGeneral(): boolean {
        return this.suspects > this.maxEjected();
    }

    private maxEjected(): number {
        return Math.floor(this.agents.size * MAX_EJECTED_SHARE);
    }

    private clear(health: AgentHealth): void {
        this.suspects -= isSuspect(health) ? 1 : 0;
        this.ejectedCount -= health.ejectedAt === undefined ? 0 : 1;
        health.failures = 0;
        health.overdue = 0;
        health.ejectedAt = undefined;
        health.probe = undefined;
    }

    /** Readmits agents when the removal of others has made the ejected share too large. */
    private keepBound(): void {
        for (const health of this.agents.values()) {
            if (this.ejectedCount > this.maxEjected() && health.ejectedAt !== undefined) {
                this.clear(health);
            }
        }
    }
}

function isSuspect(health: AgentHealth): boolean {
    return health.failures > 0 || health.overdue > 0;
}
