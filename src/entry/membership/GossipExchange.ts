import type { Random } from "../../common/Random.js";
import type { Member } from "../../common/wire/Member.js";
import type { MessageOf } from "../../common/wire/MessageOf.js";
import { MemberDigest } from "./MemberDigest.js";
import type { MemberTable } from "./MemberTable.js";
import { memberTag } from "./memberTag.js";

/** Maximum number of rows in one message, about 200 bytes each; rows are sent only to entries that miss them. */
const MAX_ROWS = 32;

/** Maximum number of digests in one message, about 13 bytes each. */
const MAX_DIGESTS = 128;

type Members = MessageOf<"members">;

/** Creates and reads gossip messages: digests of the members that both sides know, and rows of the others. */
export class GossipExchange {
    constructor(
        private readonly table: MemberTable,
        private readonly random: Random,
    ) {}

    /** First message of an exchange, with digests of this entry and of the other live members. */
    public createFirst(self: Member): Members {
        const known = [self, ...this.select(this.table.live())];
        return {
            kind: "members",
            rows: [],
            beats: MemberDigest.encode(known.map(row => MemberDigest.of(row))),
            begins: true,
        };
    }

    /** Rows of a received message, up to the limit of one message. */
    public rowsOf(message: Members): readonly Member[] {
        return message.rows.slice(0, MAX_ROWS);
    }

    /** Known rows, updated with the digests of a received message, and the tags of members that are unknown here. */
    public readDigests(message: Members): { readonly rows: readonly Member[]; readonly unknown: readonly number[]; } {
        const rows: Member[] = [];
        const unknown: number[] = [];
        for (const { tag, ...state } of MemberDigest.decode(message.beats ?? [], MAX_DIGESTS)) {
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
     * Reply to a message: the rows that it requests, a request for the rows that are unknown here and, if it began an
     * exchange, what its sender is missing. Undefined when there is nothing to send.
     */
    public createReply(message: Members, self: Member, unknown: readonly number[]): Members | undefined {
        const wanted = new Set(message.unknown ?? []);
        const missing = message.begins === true ? this.findMissing(message) : { rows: [], digests: [] };
        const requested = [self, ...this.table.live()].filter(row => wanted.has(memberTag(row)));
        const rows = [...requested, ...missing.rows].slice(0, MAX_ROWS);
        if (rows.length + missing.digests.length + unknown.length === 0) {
            return undefined;
        }
        return { kind: "members", rows, beats: MemberDigest.encode(missing.digests), unknown };
    }

    /** What the sender of `message` is missing: digests of known members with a newer version, rows of other members. */
    private findMissing(
        message: Members,
    ): { readonly rows: readonly Member[]; readonly digests: readonly MemberDigest[]; } {
        const digests = MemberDigest.decode(message.beats ?? [], MAX_DIGESTS);
        const sent = new Map(digests.map(({ tag, counter }) => [tag, counter]));
        message.rows.forEach(row => sent.set(memberTag(row), row.counter));
        const newer = this.table.live().filter(row => row.counter > (sent.get(memberTag(row)) ?? -1));
        const rows = newer.filter(row => !sent.has(memberTag(row)));
        const isComplete = digests.length < MAX_DIGESTS;
        // A sender whose message was full may know the members that it left out.
        const known = isComplete ? newer.filter(row => sent.has(memberTag(row))) : newer;
        return { rows: isComplete ? rows : [], digests: this.select(known).map(row => MemberDigest.of(row)) };
    }

    /** Random selection of rows whose digests fit into one message together with this entry's own. */
    private select(rows: readonly Member[]): readonly Member[] {
        const pool = [...rows];
        while (pool.length >= MAX_DIGESTS) {
            pool.splice(Math.floor(this.random.next() * pool.length), 1);
        }
        return pool;
    }
}
