import type { AgentEntry } from "./AgentEntry.js";
import type { Health } from "./Health.js";
import type { Placement } from "./Placement.js";
import { SizeClass } from "./SizeClass.js";
import type { Speed } from "./Speed.js";

/** Speeds closer than this count as equal, so that noise in the estimates does not defeat spreading. */
const SPEED_STEPS_PER_OCTAVE = 8;
/** Part of the reserved slots that medium tasks leave free as well. */
const MEDIUM_SHARE_OF_RESERVE = 0.5;

/** Fastest free agent; at equal speed the least used failure domain, then rack, then agent. */
export class Fastest implements Placement {
    private readonly load = new Map<string, number>();

    constructor(private readonly speed: Speed, private readonly health: Health) {}

    public allows(sizeClass: SizeClass, running: readonly number[], slots: number, reservedShare: number): boolean {
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
            if (rank < bestRank || (rank === bestRank && best !== undefined && this.spreads(agent, best))) {
                best = agent;
                bestRank = rank;
            }
        }
        return best;
    }

    public occupied(agent: AgentEntry, delta: number): void {
        const { failureDomain, rack } = agent.profile;
        this.load.set(failureDomain, (this.load.get(failureDomain) ?? 0) + delta);
        const key = rackKey(failureDomain, rack);
        this.load.set(key, (this.load.get(key) ?? 0) + delta);
    }

    private rank(agent: AgentEntry, avoid: string | undefined): number {
        const id = agent.profile.id;
        const steps = Math.round(Math.log2(this.speed.ratio(id)) * SPEED_STEPS_PER_OCTAVE);
        const suspect = this.health.suspect(id) ? 1000 : 0;
        return steps + suspect + (id === avoid ? 10_000 : 0);
    }

    private spreads(agent: AgentEntry, other: AgentEntry): boolean {
        const a = agent.profile;
        const b = other.profile;
        const byDomain = this.loadOf(a.failureDomain) - this.loadOf(b.failureDomain);
        const byRack = this.loadOf(rackKey(a.failureDomain, a.rack)) - this.loadOf(rackKey(b.failureDomain, b.rack));
        return (byDomain || byRack || agent.running - other.running) < 0;
    }

    private loadOf(place: string): number {
        return this.load.get(place) ?? 0;
    }
}

function rackKey(failureDomain: string, rack: string): string {
    return `${failureDomain}/${rack}`;
}
