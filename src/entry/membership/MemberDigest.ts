import type { Member } from "../../common/wire/Member.js";
import { memberTag } from "./memberTag.js";

const NUMBERS_PER_DIGEST = 3;

/** Digest of a member row: the values that change. It takes about 13 bytes in a message; a row takes 200. */
export interface MemberDigest {
    readonly tag: number;
    readonly counter: number;
    readonly draining: boolean;
    readonly revision: number;
}

export const MemberDigest = {
    of(row: Member): MemberDigest {
        const { counter, draining, revision } = row;
        return { tag: memberTag(row), counter, draining, revision };
    },

    /** Encodes digests as the numbers in the field `beats` of a `members` message. */
    encode(digests: readonly MemberDigest[]): readonly number[] {
        return digests.flatMap((
            { tag, counter, draining, revision },
        ) => [tag, counter, revision * 2 + Number(draining)]);
    },

    /** Decodes at most `limit` digests of a received message; numbers of an incomplete digest are ignored. */
    decode(numbers: readonly number[], limit: number): readonly MemberDigest[] {
        const count = Math.min(limit, Math.floor(numbers.length / NUMBERS_PER_DIGEST));
        return Array.from({ length: count }, (_, index) => {
            const [tag = 0, counter = 0, state = 0] = numbers.slice(index * NUMBERS_PER_DIGEST);
            return { tag, counter, draining: state % 2 === 1, revision: Math.floor(state / 2) };
        });
    },
};
