import type { AgentEntry } from "./AgentEntry.js";
import type { Health } from "./Health.js";
import type { Placement } from "./Placement.js";
import { SizeClass } from "./SizeClass.js";
import type { SpeedEstimates } from "./SpeedEstimates.js";

/**
 * Speeds are rounded to this many steps per factor of two, so that noise in the estimates does not defeat the spreading
 * over failure domains and racks.
 */
const SPEED_STEPS_PER_OCTAVE = 8;
/** Share of the reserved slots that medium tasks leave free too. */
const MEDIUM_SHARE_OF_RESERVE = 0.5;

/**
 * Prefers the fastest free agent; at equal speed the failure domain, then the rack, then the agent with the fewest
 * running tasks.
 */
export class FastestAgent implements Placement {
    private readonly runningByPlace = new Map<string, number>();

    constructor(private readonly speed: SpeedEstimates, private readonly health: Health) {}

    public allowsClass(
        sizeClass: SizeClass,
        running: readonly number[],
        slots: number,
        reservedShare: number,
    ): boolean {
        if (sizeClass === SizeClass.Short) {
            return true;
        }
        const long = running[SizeClass.Long] ?? 0;
        const medium = running[SizeClass.Medium] ?? 0;
        const reserved = slots * reservedShare;
        const notShort = long + medium;
        if (sizeClass === SizeClass.Medium) {
            return notShort < Math.max(1, Math.ceil(slots - reserved * MEDIUM_SHARE_OF_RESERVE));
        }
        return notShort < Math.max(1, Math.ceil(slots - reserved * MEDIUM_SHARE_OF_RESERVE))
            && long < Math.max(1, Math.ceil(slots - reserved));
    }

    public pick(candidates: readonly AgentEntry[], avoid: string | undefined): AgentEntry | undefined {
        let best: AgentEntry | undefined;
        let bestRank = Infinity;
        for (const agent of candidates) {
            const rank = this.rank(agent, avoid);
            if (rank < bestRank || (rank === bestRank && best !== undefined && this.isLessLoaded(agent, best))) {
                best = agent;
                bestRank = rank;
            }
        }
        return best;
    }

    public addRunning(agent: AgentEntry, delta: number): void {
        const { failureDomain, rack } = agent.profile;
        this.runningByPlace.set(failureDomain, (this.runningByPlace.get(failureDomain) ?? 0) + delta);
        const key = rackKey(failureDomain, rack);
        this.runningByPlace.set(key, (this.runningByPlace.get(key) ?? 0) + delta);
    }

    private rank(agent: AgentEntry, avoid: string | undefined): number {
        const id = agent.profile.id;
        const steps = Math.round(Math.log2(this.speed.ratio(id)) * SPEED_STEPS_PER_OCTAVE);
        const suspect = this.health.isSuspect(id) ? 1000 : 0;
        return steps + suspect + (id === avoid ? 10_000 : 0);
    }

    private isLessLoaded(agent: AgentEntry, other: AgentEntry): boolean {
        const a = agent.profile;
        const b = other.profile;
        const byDomain = this.runningAt(a.failureDomain) - this.runningAt(b.failureDomain);
        const byRack = this.runningAt(rackKey(a.failureDomain, a.rack))
            - this.runningAt(rackKey(b.failureDomain, b.rack));
        return (byDomain || byRack || agent.running - other.running) < 0;
    }

    private runningAt(place: string): number {
        return this.runningByPlace.get(place) ?? 0;
    }
}

function rackKey(failureDomain: string, rack: string): string {
    return `${failureDomain}/${rack}`;
}
