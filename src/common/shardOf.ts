import { createHash } from "node:crypto";

/** Returns the shard, from 0 to `shards - 1`, that the agent with `id` belongs to. */
export function shardOf(id: string, shards: number): number {
    return createHash("sha1").update(id).digest().readUInt32BE(0) % Math.max(1, shards);
}
