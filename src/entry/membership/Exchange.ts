import type { Random } from "../../common/Random.js";
import type { Member } from "../../common/wire/Member.js";
import type { MessageOf } from "../../common/wire/MessageOf.js";
import { Beat } from "./Beat.js";
import type { MemberTable } from "./MemberTable.js";
import { memberTag } from "./memberTag.js";

/** Rows in one message, about 200 bytes each; rows are sent only to entries that lack them. */
const MAX_ROWS = 32;

/** Beats in one message, about 13 bytes each. */
const MAX_BEATS = 128;

type Members = MessageOf<"members">;

/** Contents of gossip messages: beats of the members that both sides know, and rows of the others. */
export class Exchange {
    constructor(
        private readonly table: MemberTable,
        private readonly random: Random,
    ) {}

    /** Begins an exchange: the own row, and beats of the other members. */
    public begin(self: Member): Members {
        return {
            kind: "members",
            rows: [self],
            beats: Beat.pack(this.select(this.table.live()).map(row => Beat.of(row))),
        };
    }

    /** Rows of a received message, up to the size of one message. */
    public rowsOf(message: Members): readonly Member[] {
        return message.rows.slice(0, MAX_ROWS);
    }

    /** Rows that the beats of a received message amount to, and the tags that are unknown here. */
    public read(message: Members): { readonly rows: readonly Member[]; readonly unknown: readonly number[]; } {
        const rows: Member[] = [];
        const unknown: number[] = [];
        for (const { tag, ...state } of Beat.unpack(message.beats ?? [], MAX_BEATS)) {
            const known = this.table.find(tag);
            if (known === undefined) {
                unknown.push(tag);
            }
            else {
                rows.push({ ...known, ...state });
            }
        }
        return { rows, unknown };
    }

    /**
     * Answers a message: with the rows that it asks for, a request for rows that are unknown here and, when it
     * began an exchange, with what its sender lacks. The answer leaves out the own row, so an exchange ends there. Undefined
     * when there is nothing to tell.
     */
    public answer(message: Members, sender: string, unknown: readonly number[]): Members | undefined {
        const wanted = new Set(message.unknown ?? []);
        const begun = message.rows.some(row => row.id === sender);
        const lacking = begun ? this.lackedBy(message) : { rows: [], beats: [] };
        const asked = this.table.live().filter(row => wanted.has(memberTag(row)));
        const rows = [...asked, ...lacking.rows].slice(0, MAX_ROWS);
        if (rows.length + lacking.beats.length + unknown.length === 0) {
            return undefined;
        }
        return { kind: "members", rows, beats: Beat.pack(lacking.beats), unknown };
    }

    /** What the sender of `message` has older, as beats, and what it does not have, as rows. */
    private lackedBy(message: Members): { readonly rows: readonly Member[]; readonly beats: readonly Beat[]; } {
        const beats = Beat.unpack(message.beats ?? [], MAX_BEATS);
        const sent = new Map(beats.map(({ tag, counter }) => [tag, counter]));
        message.rows.forEach(row => sent.set(memberTag(row), row.counter));
        const newer = this.table.live().filter(row => row.counter > (sent.get(memberTag(row)) ?? -1));
        const rows = newer.filter(row => !sent.has(memberTag(row)));
        const isWhole = beats.length < MAX_BEATS;
        // A sender of a full message may know the members that it left out.
        const known = isWhole ? newer.filter(row => sent.has(memberTag(row))) : newer;
        return { rows: isWhole ? rows : [], beats: this.select(known).map(row => Beat.of(row)) };
    }

    /** A random choice of rows, up to the beats of one message. */
    private select(rows: readonly Member[]): readonly Member[] {
        const pool = [...rows];
        while (pool.length > MAX_BEATS) {
            pool.splice(Math.floor(this.random.next() * pool.length), 1);
        }
        return pool;
    }
}
