import { createHash } from "node:crypto";

/** Returns the shard, from 0 to `shards` - 1, that an agent belongs to. */
export function shardOf(agentId: string, shards: number): number {
    return createHash("sha1").update(agentId).digest().readUInt32BE(0) % Math.max(1, shards);
}
