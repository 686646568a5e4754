import type { Clock } from "../common/Clock.js";
import type { Random } from "../common/Random.js";
import { rendezvousRank } from "../common/rendezvousRank.js";
import type { Member } from "../common/wire/Member.js";

const FIRST_BACK_OFF_MS = 500;
const MAX_BACK_OFF_MS = 5000;

/** Fields of a member row that an agent needs to reach an entry. */
type Entry = Pick<Member, "id" | "address" | "incarnation">;

interface BackOff {
    readonly delayMs: number;
    readonly until: number;
}

/** Entries of the region as reported to this agent, and which of them are backed off after a failure. */
export class EntryDirectory {
    private entries: readonly Entry[] = [];
    private readonly backOffs = new Map<string, BackOff>();

    constructor(
        private readonly region: string,
        private readonly clock: Clock,
        private readonly random: Random,
    ) {}

    /** True when any known entry is not backed off. */
    public get hasUsable(): boolean {
        return this.entries.some(entry => !this.isBackedOff(entry.id));
    }

    /**
     * Replaces the known entries by those of a `members` message; entries of other regions and draining ones are left
     * out.
     */
    public update(rows: readonly Member[]): void {
        this.entries = rows.filter(row => row.region === this.region && !row.draining);
    }

    /** Adds an entry that was reached without a member row. */
    public add(entry: Entry): void {
        this.entries = [...this.entries.filter(other => other.id !== entry.id), entry];
    }

    /** Entry with the highest rendezvous rank for `key` that is not backed off. */
    public bestFor(key: string): Entry | undefined {
        const usable = this.entries.filter(entry => !this.isBackedOff(entry.id));
        const [first] = rendezvousRank(key, usable.map(entry => entry.id));
        return usable.find(entry => entry.id === first);
    }

    /**
     * Excludes an entry or a seed for a time that doubles with each consecutive failure, jittered down to half of it.
     */
    public recordFailure(id: string): void {
        const delayMs = Math.min(MAX_BACK_OFF_MS, (this.backOffs.get(id)?.delayMs ?? FIRST_BACK_OFF_MS / 2) * 2);
        const until = this.clock.now() + delayMs / 2 + this.random.next() * delayMs / 2;
        this.backOffs.set(id, { delayMs, until });
    }

    public recordSuccess(id: string): void {
        this.backOffs.delete(id);
    }

    public isBackedOff(id: string): boolean {
        return (this.backOffs.get(id)?.until ?? 0) > this.clock.now();
    }
}
