/**
 * Agents of one kind that should be attached to an entry: enough to find a fast one with free capacity, and cheap to
 * keep connected.
 */
const AGENTS_PER_ENTRY = 16;

/** Entries that an agent connects to at first, before they have reported how many agents they have. */
const INITIAL_ENTRIES = 8;

/** Minimum number of entries: one that is lost or has no callers must not leave the endpoint idle. */
const MIN_ENTRIES = 4;

/**
 * Ratios of wanted to present agents of an entry between which nothing changes; too few agents matter sooner than too
 * many.
 */
const MAX_RATIO = 1.25;
const MIN_RATIO = 1 / 1.5;

/** Largest change in one step, as a factor, because the other agents adapt at the same time. */
const MAX_STEP = 2;

/**
 * Adapts the number of entries that an agent keeps connections to, so that each entry has a bounded number of agents of
 * a kind however large the deployment is, and all of them where there are few.
 */
export class LinkCountTarget {
    private wanted = INITIAL_ENTRIES;

    /** `agentsPerEntry` is the number of agents of one kind that each entry should have. */
    constructor(private readonly agentsPerEntry: number = AGENTS_PER_ENTRY) {}

    public get entries(): number {
        return this.wanted;
    }

    /**
     * Adapts the number of entries to `agentCounts`, the number of agents of this kind at each attached entry that has
     * reported it; `known` is the number of all known entries. Returns whether the number of entries changed.
     */
    public adapt(agentCounts: readonly number[], known: number): boolean {
        if (agentCounts.length === 0) {
            return false;
        }
        const mean = agentCounts.reduce((sum, count) => sum + count, 0) / agentCounts.length;
        const ratio = this.agentsPerEntry / Math.max(1, mean);
        if (ratio < MAX_RATIO && ratio > MIN_RATIO) {
            return false;
        }
        const step = Math.min(MAX_STEP, Math.max(1 / MAX_STEP, ratio));
        const next = Math.round(this.wanted * step);
        const before = this.wanted;
        // A number above that of the known entries would have to be lowered again when further entries appear.
        this.wanted = Math.max(MIN_ENTRIES, Math.min(next, Math.max(known, INITIAL_ENTRIES)));
        return this.wanted !== before;
    }
}
