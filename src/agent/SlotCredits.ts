import type { MessageOf } from "../common/wire/MessageOf.js";

interface CreditHolder {
    credits: number;
    /** Tasks that wait for a slot at the entry, as it last reported. */
    queued: number;
    /** Credits reclaimed and not yet released. */
    reclaiming: number;
    /** Whether the entry gets further credits only for the tasks in its queue. */
    retired: boolean;
}

/**
 * Distributes the endpoint's slots to the attached entries as credits. Credits granted plus running tasks never exceed
 * the slots, except right after the number of slots was lowered; then nothing is granted until the sum is below it
 * again.
 */
export class SlotCredits<K> {
    private readonly holders = new Map<K, CreditHolder>();
    private total = 0;
    private runningCount = 0;

    constructor(private readonly send: (key: K, message: MessageOf<"credit"> | MessageOf<"reclaim">) => void) {}

    /** Number of running tasks. */
    public get running(): number {
        return this.runningCount;
    }

    /** Number of credits that entries hold. */
    public get granted(): number {
        return [...this.holders.values()].reduce((sum, holder) => sum + holder.credits, 0);
    }

    public creditsOf(key: K): number {
        return this.holders.get(key)?.credits ?? 0;
    }

    /** Number of tasks in the queue of an entry, as it last reported. */
    public queuedOf(key: K): number {
        return this.holders.get(key)?.queued ?? 0;
    }

    /** Sets the number of slots and grants the free ones. */
    public resize(total: number): void {
        this.total = total;
        this.grantFree();
    }

    /** Adds an entry; entries without a queue that hold more than an equal share are asked to release the excess. */
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

    /**
     * Reclaims the credits that the queue of an entry does not need. The tasks in its queue still get credits, because
     * no other entry may start them.
     */
    public retire(key: K): void {
        const holder = this.holders.get(key);
        if (holder !== undefined && !holder.retired) {
            holder.retired = true;
            this.reclaimSurplus(key, holder);
        }
    }

    /** Reverses `retire`. */
    public restore(key: K): void {
        const holder = this.holders.get(key);
        if (holder !== undefined) {
            holder.retired = false;
            this.grantFree();
        }
    }

    /** Uses one credit of an entry for a task; returns false when it has none. */
    public spend(key: K, queued: number): boolean {
        const holder = this.holders.get(key);
        if (holder === undefined || holder.credits === 0) {
            return false;
        }
        holder.credits -= 1;
        holder.reclaiming = Math.min(holder.reclaiming, holder.credits);
        holder.queued = queued;
        this.runningCount += 1;
        this.reclaimIdle(holder);
        return true;
    }

    /** Frees the slot of a task that `key` started; returns true when the same entry gets the credit back. */
    public finish(key: K): boolean {
        this.runningCount -= 1;
        if (this.free <= 0) {
            return false;
        }
        const next = this.chooseNext();
        if (next !== undefined && next[0] === key) {
            next[1].credits += 1;
            return true;
        }
        this.grantFree();
        return false;
    }

    /** Accepts released credits and grants them to the entry that needs them most. */
    public release(key: K, count: number): void {
        const holder = this.holders.get(key);
        if (holder !== undefined) {
            holder.credits -= Math.min(count, holder.credits);
            holder.reclaiming = Math.max(0, holder.reclaiming - count);
            this.grantFree();
        }
    }

    /**
     * Stores how many tasks wait at an entry; when it has no credit, idle credits of other entries are reclaimed for
     * it.
     */
    public reportQueue(key: K, queued: number): void {
        const holder = this.holders.get(key);
        if (holder === undefined) {
            return;
        }
        holder.queued = queued;
        if (holder.retired) {
            this.reclaimSurplus(key, holder);
            this.grantFree();
        }
        this.reclaimIdle(holder);
    }

    /**
     * Reclaims idle credits for an entry that has a queue but no credit. Starts replace heartbeats, so each start may
     * be the only report of a queue.
     */
    private reclaimIdle(holder: CreditHolder): void {
        const { queued } = holder;
        if (queued === 0 || holder.credits > 0) {
            return;
        }
        for (const [other, idle] of this.holders) {
            if (idle !== holder && idle.queued === 0) {
                this.reclaim(other, idle, Math.min(queued, Math.ceil(idle.credits / 2)));
            }
        }
    }

    private get free(): number {
        return this.total - this.runningCount - this.granted;
    }

    private reclaimSurplus(key: K, holder: CreditHolder): void {
        this.reclaim(key, holder, holder.credits - holder.queued);
    }

    private reclaim(key: K, holder: CreditHolder, wanted: number): void {
        const count = Math.min(wanted, holder.credits) - holder.reclaiming;
        if (count > 0) {
            holder.reclaiming += count;
            this.send(key, { kind: "reclaim", count });
        }
    }

    private grantFree(): void {
        const grants = new Map<K, number>();
        for (let left = this.free; left > 0; left--) {
            const next = this.chooseNext();
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

    /**
     * Entry with the largest queue not yet covered by its credits, or the one with the fewest credits when none has
     * any.
     */
    private chooseNext(): [K, CreditHolder] | undefined {
        let best: [K, CreditHolder] | undefined;
        for (const [key, holder] of this.holders) {
            const eligible = !holder.retired || holder.queued > holder.credits;
            if (eligible && (best === undefined || isBefore(holder, best[1]))) {
                best = [key, holder];
            }
        }
        return best;
    }
}

function isBefore(a: CreditHolder, b: CreditHolder): boolean {
    const uncoveredA = Math.max(0, a.queued - a.credits);
    const uncoveredB = Math.max(0, b.queued - b.credits);
    return uncoveredA === uncoveredB ? a.credits < b.credits : uncoveredA > uncoveredB;
}
