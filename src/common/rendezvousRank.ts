import { createHash } from "node:crypto";

/** Ranks `ids` for `key` by rendezvous hashing, highest first; every process computes the same order. */
export function rendezvousRank(key: string, ids: readonly string[]): string[] {
    return ids
        .map(id => ({ id, weight: createHash("sha1").update(`${key}|${id}`).digest("hex") }))
        .sort((a, b) => a.weight < b.weight ? 1 : -1)
        .map(ranked => ranked.id);
}
