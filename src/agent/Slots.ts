import type { MessageOf } from "../common/wire/MessageOf.js";

interface Holder {
    credits: number;
    /** Tasks that wait for a slot at the entry, as it last said. */
    queued: number;
    /** Credits asked back and not yet released. */
    reclaiming: number;
    /** True when the entry gets no further credits. */
    retired: boolean;
}

/**
 * Shares the endpoint's slots among attached entries by credits. Granted credits plus running tasks never exceed the
 * slots, except right after the number of slots was lowered; then nothing is granted until the sum is below it again.
 */
export class Slots<K> {
    private readonly holders = new Map<K, Holder>();
    private total = 0;
    private busy = 0;

    constructor(private readonly send: (key: K, message: MessageOf<"credit"> | MessageOf<"reclaim">) => void) {}

    /** Tasks running now. */
    public get running(): number {
        return this.busy;
    }

    /** Credits that entries hold now. */
    public get granted(): number {
        return [...this.holders.values()].reduce((sum, holder) => sum + holder.credits, 0);
    }

    public creditsOf(key: K): number {
        return this.holders.get(key)?.credits ?? 0;
    }

    /** Sets the number of slots and grants what is free. */
    public resize(total: number): void {
        this.total = total;
        this.grantFree();
    }

    /** Adds an entry; entries without a queue that hold more than an equal share are asked for credits back. */
    public add(key: K): void {
        this.holders.set(key, { credits: 0, queued: 0, reclaiming: 0, retired: false });
        this.grantFree();
        const share = Math.floor(this.total / this.holders.size);
        for (const [other, holder] of this.holders) {
            if (holder.queued === 0) {
                this.reclaim(other, holder, holder.credits - share);
            }
        }
    }

    /** Removes an entry; its unused credits go to the others. */
    public remove(key: K): void {
        this.holders.delete(key);
        this.grantFree();
    }

    /** Grants an entry nothing more and asks for all of its credits back. */
    public retire(key: K): void {
        const holder = this.holders.get(key);
        if (holder !== undefined && !holder.retired) {
            holder.retired = true;
            this.reclaim(key, holder, holder.credits);
        }
    }

    /** Uses one credit of an entry for a task; false when it has none. */
    public use(key: K, queued: number): boolean {
        const holder = this.holders.get(key);
        if (holder === undefined || holder.credits === 0) {
            return false;
        }
        holder.credits -= 1;
        holder.reclaiming = Math.min(holder.reclaiming, holder.credits);
        holder.queued = queued;
        this.busy += 1;
        this.reclaimIdle(holder);
        return true;
    }

    /** Frees the slot of a task that `key` started; true when the same entry gets the credit back. */
    public finish(key: K): boolean {
        this.busy -= 1;
        if (this.free <= 0) {
            return false;
        }
        const next = this.choose();
        if (next !== undefined && next[0] === key) {
            next[1].credits += 1;
            return true;
        }
        this.grantFree();
        return false;
    }

    /** Takes released credits and grants them to the entry that needs them most. */
    public release(key: K, count: number): void {
        const holder = this.holders.get(key);
        if (holder !== undefined) {
            holder.credits -= Math.min(count, holder.credits);
            holder.reclaiming = Math.max(0, holder.reclaiming - count);
            this.grantFree();
        }
    }

    /** Notes how many tasks wait at an entry; when it has no credit, idle credits of others are asked back for it. */
    public report(key: K, queued: number): void {
        const holder = this.holders.get(key);
        if (holder === undefined) {
            return;
        }
        holder.queued = queued;
        this.reclaimIdle(holder);
    }

    /** Heartbeats are left out beside starts, so each start may be the only report of a queue. */
    private reclaimIdle(holder: Holder): void {
        const { queued } = holder;
        if (queued === 0 || holder.credits > 0 || holder.retired) {
            return;
        }
        for (const [other, idle] of this.holders) {
            if (idle !== holder && idle.queued === 0) {
                this.reclaim(other, idle, Math.min(queued, Math.ceil(idle.credits / 2)));
            }
        }
    }

    private get free(): number {
        return this.total - this.busy - this.granted;
    }

    private reclaim(key: K, holder: Holder, wanted: number): void {
        const count = Math.min(wanted, holder.credits) - holder.reclaiming;
        if (count > 0) {
            holder.reclaiming += count;
            this.send(key, { kind: "reclaim", count });
        }
    }

    private grantFree(): void {
        const grants = new Map<K, number>();
        for (let left = this.free; left > 0; left--) {
            const next = this.choose();
            if (next === undefined) {
                break;
            }
            next[1].credits += 1;
            grants.set(next[0], (grants.get(next[0]) ?? 0) + 1);
        }
        for (const [key, count] of grants) {
            this.send(key, { kind: "credit", count });
        }
    }

    /** The entry with the largest queue not yet covered by its credits, else the one with the fewest credits. */
    private choose(): [K, Holder] | undefined {
        let best: [K, Holder] | undefined;
        for (const [key, holder] of this.holders) {
            if (!holder.retired && (best === undefined || isBefore(holder, best[1]))) {
                best = [key, holder];
            }
        }
        return best;
    }
}

function isBefore(a: Holder, b: Holder): boolean {
    const uncoveredA = Math.max(0, a.queued - a.credits);
    const uncoveredB = Math.max(0, b.queued - b.credits);
    return uncoveredA === uncoveredB ? a.credits < b.credits : uncoveredA > uncoveredB;
}
