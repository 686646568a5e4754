import type { Hono } from "hono";
import type { ConfigurationStore } from "../common/configuration/ConfigurationStore.js";
import type { Disposable } from "../common/Disposable.js";
import type { Channel } from "../common/wire/Channel.js";
import type { ConfigurationManager } from "./controllers/ConfigurationManager.js";
import type { Membership } from "./controllers/Membership.js";
import type { PeerConnections } from "./controllers/PeerConnections.js";

/** The cluster side of an entry: connections to other entries, membership and configuration. */
export interface ClusterServices extends Disposable {
    readonly peers: PeerConnections;
    readonly members: Membership;
    readonly configuration: ConfigurationStore;
    /** HTTP routes with which operators manage the configuration. */
    readonly routes: Hono;
    readonly configurationManager: ConfigurationManager;
    /** Takes ownership of a channel that another entry opened; ignores channels of other roles. */
    accept(channel: Channel): void;
    /** Starts gossip and reads the configuration; resolves after the first attempt to read it. */
    start(): Promise<void>;
    /** Marks this entry's member row as draining. */
    drain(): void;
}
