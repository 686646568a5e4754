import type { Member } from "../../common/wire/Member.js";
import type { MemberChange } from "./MemberChange.js";
import { memberTag } from "./memberTag.js";

/** A member is live while its counter has advanced within this time. */
const LIVENESS_TIMEOUT_MS = 5000;

/** A dead row is kept for this time, so that late gossip does not bring the member back. */
const DEAD_ROW_RETENTION_MS = 60_000;

/** Maximum number of rows; further unknown members are ignored. */
const MAX_ROWS = 1024;

interface KnownMember {
    readonly row: Member;
    /** Local time at which the counter last advanced. */
    readonly advancedAt: number;
    readonly live: boolean;
}

/** Rows of the other entries of one region. Higher counters win; a member whose counter stops advancing is dead. */
export class MemberTable {
    private readonly known = new Map<string, KnownMember>();
    /** Rows of `known` by the tag of their incarnation. */
    private readonly incarnations = new Map<number, Member>();

    /** Stores a row if it is newer than the known one; returns how the member view changes, undefined if it does not. */
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

    /** Marks rows whose counter stopped advancing as dead, removes old rows, and returns the newly dead members. */
    public expire(now: number): readonly Member[] {
        const newlyDead: Member[] = [];
        for (const [id, { row, advancedAt, live }] of this.known) {
            if (now - advancedAt > DEAD_ROW_RETENTION_MS) {
                this.known.delete(id);
                this.incarnations.delete(memberTag(row));
            }
            else if (live && now - advancedAt > LIVENESS_TIMEOUT_MS) {
                this.known.set(id, { row, advancedAt, live: false });
                newlyDead.push(row);
            }
        }
        return newlyDead;
    }

    public live(): readonly Member[] {
        return [...this.known.values()].filter(({ live }) => live).map(({ row }) => row);
    }

    /** Row of the incarnation with this tag, live or dead. */
    public find(tag: number): Member | undefined {
        return this.incarnations.get(tag);
    }
}

/** The higher counter wins. With equal counters the greater incarnation wins, so that all entries agree. */
function isNewer(row: Member, than: Member): boolean {
    return row.counter > than.counter || (row.counter === than.counter && row.incarnation > than.incarnation);
}

function changeBetween(before: KnownMember | undefined, row: Member): MemberChange | undefined {
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
