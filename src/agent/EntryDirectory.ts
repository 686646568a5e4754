import type { Clock } from "../common/Clock.js";
import type { Random } from "../common/Random.js";
import { rendezvousRank } from "../common/rendezvousRank.js";
import type { Member } from "../common/wire/Member.js";

const FIRST_BACK_OFF_MS = 500;
const MAX_BACK_OFF_MS = 5000;

/** What an agent needs to know to reach an entry. */
type Entry = Pick<Member, "id" | "address" | "incarnation">;

interface BackOff {
    readonly delayMs: number;
    readonly until: number;
}

/** Entries of the region as entries told this agent, and which of them are backed off after a failure. */
export class EntryDirectory {
    private entries: readonly Entry[] = [];
    private readonly backOffs = new Map<string, BackOff>();

    constructor(
        private readonly region: string,
        private readonly clock: Clock,
        private readonly random: Random,
    ) {}

    /** True when any known entry is not backed off. */
    public get knowsAny(): boolean {
        return this.entries.some(entry => !this.isBackedOff(entry.id));
    }

    /** Replaces the known entries by the live ones of a `members` message; other regions and draining entries are left out. */
    public update(rows: readonly Member[]): void {
        this.entries = rows.filter(row => row.region === this.region && !row.draining);
    }

    /** Adds an entry that was met without a member row. */
    public add(entry: Entry): void {
        this.entries = [...this.entries.filter(other => other.id !== entry.id), entry];
    }

    /** The entry with the highest rank for `key` that is not backed off. */
    public best(key: string): Entry | undefined {
        const usable = this.entries.filter(entry => !this.isBackedOff(entry.id));
        const [first] = rendezvousRank(key, usable.map(entry => entry.id));
        return usable.find(entry => entry.id === first);
    }

    /** Leaves an entry or a seed out for a time that doubles with each failure in a row, with full jitter. */
    public failed(id: string): void {
        const delayMs = Math.min(MAX_BACK_OFF_MS, (this.backOffs.get(id)?.delayMs ?? FIRST_BACK_OFF_MS / 2) * 2);
        const until = this.clock.now() + delayMs / 2 + this.random.next() * delayMs / 2;
        this.backOffs.set(id, { delayMs, until });
    }

    public succeeded(id: string): void {
        this.backOffs.delete(id);
    }

    public isBackedOff(id: string): boolean {
        return (this.backOffs.get(id)?.until ?? 0) > this.clock.now();
    }
}
