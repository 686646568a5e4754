import type { Hono } from "hono";
import type { ConfigurationStore } from "../common/configuration/ConfigurationStore.js";
import type { Disposable } from "../common/Disposable.js";
import type { Channel } from "../common/wire/Channel.js";
import type { ConfigurationManager } from "./controllers/ConfigurationManager.js";
import type { Membership } from "./controllers/Membership.js";
import type { PeerConnections } from "./controllers/PeerConnections.js";

/** Parts of an entry that know other entries and the configuration. */
export interface EntryState extends Disposable {
    readonly peers: PeerConnections;
    readonly members: Membership;
    readonly configuration: ConfigurationStore;
    /** Operators' routes of the configuration. */
    readonly routes: Hono;
    readonly changes: ConfigurationManager;
    /** Sees every accepted channel and takes those of other entries. */
    accept(channel: Channel): void;
    /** Begins to gossip and to read the configuration. */
    start(): Promise<void>;
    /** Marks this entry's member row as draining. */
    drain(): void;
}
