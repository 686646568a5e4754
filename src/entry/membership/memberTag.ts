import type { Member } from "../../common/wire/Member.js";

const TAG_DIGITS = 8;
const HEXADECIMAL = 16;

/**
 * Short identifier of a member's incarnation: 32 bits, which take 5 bytes in CBOR. Two of 30 random incarnations have
 * the same tag with a probability of 1e-7.
 */
export function memberTag({ incarnation }: Pick<Member, "incarnation">): number {
    return Number.parseInt(incarnation.slice(0, TAG_DIGITS), HEXADECIMAL) || 0;
}
