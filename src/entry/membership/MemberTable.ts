import type { Member } from "../../common/wire/Member.js";
import type { MemberChange } from "./MemberChange.js";
import { memberTag } from "./memberTag.js";

/** A member is live while its counter has advanced within this time. */
const LIVE_MS = 5000;

/** A dead row is remembered for this time, so that late gossip of it does not bring the member back. */
const REMEMBER_MS = 60_000;

/** Most rows that are kept; further unknown members are ignored. */
const MAX_ROWS = 1024;

interface Known {
    readonly row: Member;
    /** Local time at which the counter last advanced. */
    readonly advancedAt: number;
    readonly live: boolean;
}

/** Rows of the other entries of one region: higher counters win, and rows that stop advancing are dead. */
export class MemberTable {
    private readonly known = new Map<string, Known>();
    /** Rows of `known` by the tag of their incarnation. */
    private readonly incarnations = new Map<number, Member>();

    /** Takes a row if it is newer than the one known; returns what changed for readers of the view. */
    public merge(row: Member, now: number): MemberChange | undefined {
        const before = this.known.get(row.id);
        if (before === undefined) {
            if (this.known.size >= MAX_ROWS) {
                return undefined;
            }
        }
        else if (!isNewer(row, before.row)) {
            return undefined;
        }
        if (before !== undefined) {
            this.incarnations.delete(memberTag(before.row));
        }
        this.known.set(row.id, { row, advancedAt: now, live: true });
        this.incarnations.set(memberTag(row), row);
        return changeBetween(before, row);
    }

    /** Marks rows that stopped advancing as dead, forgets old ones, and returns the members that died now. */
    public expire(now: number): readonly Member[] {
        const died: Member[] = [];
        for (const [id, { row, advancedAt, live }] of this.known) {
            if (now - advancedAt > REMEMBER_MS) {
                this.known.delete(id);
                this.incarnations.delete(memberTag(row));
            }
            else if (live && now - advancedAt > LIVE_MS) {
                this.known.set(id, { row, advancedAt, live: false });
                died.push(row);
            }
        }
        return died;
    }

    public live(): readonly Member[] {
        return [...this.known.values()].filter(({ live }) => live).map(({ row }) => row);
    }

    /** The row of the incarnation with this tag, also of a dead one. */
    public find(tag: number): Member | undefined {
        return this.incarnations.get(tag);
    }
}

/** Counters decide; at equal counters of two incarnations, the order of the incarnations does, so that all agree. */
function isNewer(row: Member, than: Member): boolean {
    return row.counter > than.counter || (row.counter === than.counter && row.incarnation > than.incarnation);
}

function changeBetween(before: Known | undefined, row: Member): MemberChange | undefined {
    if (before?.live !== true) {
        return "joined";
    }
    if (before.row.incarnation !== row.incarnation) {
        return "replaced";
    }
    if (before.row.draining !== row.draining) {
        return "draining";
    }
    return before.row.address === row.address ? undefined : "replaced";
}
