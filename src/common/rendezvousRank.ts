import { createHash } from "node:crypto";

/** Orders `ids` by rendezvous hash for `key`, best first. The order does not depend on the order of `ids`. */
export function rendezvousRank(key: string, ids: readonly string[]): readonly string[] {
    return ids
        .map(id => ({ id, score: createHash("sha1").update(`${key}|${id}`).digest("hex") }))
        .sort((a, b) => compare(b.score, a.score) || compare(a.id, b.id))
        .map(entry => entry.id);
}

function compare(a: string, b: string): number {
    return a < b ? -1 : Number(a > b);
}
