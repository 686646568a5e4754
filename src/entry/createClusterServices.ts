import { ConfigurationStore } from "../common/configuration/ConfigurationStore.js";
import { DisposableStore } from "../common/DisposableStore.js";
import type { Runtime } from "../common/Runtime.js";
import type { EntrySettings } from "../common/settings/EntrySettings.js";
import { HttpTable } from "../common/table/HttpTable.js";
import { Role } from "../common/wire/Role.js";
import type { AttachedAgents } from "./AttachedAgents.js";
import type { ClusterServices } from "./ClusterServices.js";
import { ConfigurationManager } from "./controllers/ConfigurationManager.js";
import { Membership } from "./controllers/Membership.js";
import { PeerConnections } from "./controllers/PeerConnections.js";
import type { EntryIdentity } from "./EntryIdentity.js";
import type { TokenIndex } from "./filters/TokenIndex.js";
import { configurationRoutes } from "./routes/configurationRoutes.js";

/** Creates and connects the membership, the connections to other entries, and the configuration of an entry. */
export function createClusterServices(
    settings: EntrySettings,
    runtime: Runtime,
    identity: EntryIdentity,
    agents: AttachedAgents,
    tokens: TokenIndex,
): ClusterServices {
    const { clock, log, random, metrics } = runtime;
    const resources = new DisposableStore();
    const table = settings.platform === undefined
        ? undefined
        : resources.add(new HttpTable(settings.platform.url, settings.platform.timeoutMs));
    const configuration = new ConfigurationStore();
    const peers = resources.add(new PeerConnections(identity, settings.secret, clock, log, metrics));
    const members = resources.add(
        new Membership({
            identity,
            peers,
            table,
            seeds: settings.entries,
            revision: () => configuration.revision,
            clock,
            random,
            log,
        }),
    );
    const configurationManager = resources.add(
        new ConfigurationManager({
            store: configuration,
            table,
            members,
            peers,
            agents,
            id: settings.id,
            clock,
            random,
            log,
        }),
    );
    const principal = (request: Request) => tokens.find(request.headers.get("authorization") ?? undefined);
    return {
        peers,
        members,
        configuration,
        configurationManager,
        routes: configurationRoutes({ configuration: configurationManager, store: configuration, principal }),
        accept: channel => {
            if (channel.peer.role === Role.Entry) {
                peers.accept(channel);
            }
        },
        start: () => {
            members.start();
            return configurationManager.start();
        },
        drain: () => {
            members.drain();
        },
        dispose: () => {
            void members.leave();
            resources.dispose();
        },
    };
}
