import type { Hono } from "hono";
import type { Clock } from "../common/Clock.js";
import { ConfigurationStore } from "../common/configuration/ConfigurationStore.js";
import { SilentLog } from "../common/log/SilentLog.js";
import { SeededRandom } from "../common/SeededRandom.js";
import type { CallerRole } from "../common/settings/CallerRole.js";
import { HttpTable } from "../common/table/HttpTable.js";
import { Listener } from "../common/wire/Listener.js";
import type { AttachedAgent } from "../entry/AttachedAgent.js";
import { ConfigurationManager } from "../entry/controllers/ConfigurationManager.js";
import { Membership } from "../entry/controllers/Membership.js";
import { PeerConnections } from "../entry/controllers/PeerConnections.js";
import { EntryIdentity } from "../entry/EntryIdentity.js";
import { configurationRoutes } from "../entry/routes/configurationRoutes.js";

const SECRET = "a secret of the deployment";
const STORE_TIMEOUT_MS = 5000;

/** Membership and configuration of an entry without its other parts, over real sockets. */
export class StateEntry {
    private constructor(
        public readonly address: string,
        public readonly store: ConfigurationStore,
        public readonly membership: Membership,
        public readonly configuration: ConfigurationManager,
        private readonly routes: Hono,
        private readonly resources: readonly { dispose(): void; }[],
    ) {}

    public static async start(
        id: string,
        options: { readonly platform: string; readonly seeds: readonly string[]; readonly clock: Clock; },
        agents: AttachedAgent[] = [],
    ): Promise<StateEntry> {
        const { clock, seeds } = options;
        const log = new SilentLog();
        const listener = await Listener.listen({
            host: "127.0.0.1",
            port: 0,
            maxConnections: 16,
            identity: () => identity.current,
            secret: SECRET,
            log,
        });
        const address = `127.0.0.1:${listener.port}`;
        const identity: EntryIdentity = new EntryIdentity({ id, address, region: "r", failureDomain: "f" });
        const peers = new PeerConnections(identity, SECRET, clock, log);
        listener.onChannel(channel => {
            peers.accept(channel);
        });
        const table = new HttpTable(options.platform, STORE_TIMEOUT_MS);
        const store = new ConfigurationStore();
        const random = new SeededRandom(listener.port);
        const revision = () => store.revision;
        const membership = new Membership({ identity, peers, table, seeds, revision, clock, random, log });
        const attached = { attached: () => agents };
        const dependencies = { store, table, members: membership, peers, agents: attached, id, clock, random, log };
        const configuration = new ConfigurationManager(dependencies);
        membership.start();
        await configuration.start();
        const principal = (request: Request) => {
            const [role, team] = request.headers.get("authorization")?.split(" ") ?? [];
            return role === undefined || team === undefined ? undefined : { role: role as CallerRole, team };
        };
        const routes = configurationRoutes({ configuration, store, principal });
        const resources = [configuration, membership, peers, listener, table];
        return new StateEntry(address, store, membership, configuration, routes, resources);
    }

    /** Sends an HTTP request as `holder`, for example `operator a` (role and team); `base` becomes `If-Match`. */
    public async request(method: string, path: string, holder: string, body?: unknown, base?: number) {
        const response = await this.routes.request(path, {
            method,
            headers: {
                ...(holder === "" ? {} : { authorization: holder }),
                ...(base === undefined ? {} : { "if-match": `"${base}"` }),
            },
            ...(body === undefined ? {} : { body: JSON.stringify(body) }),
        });
        return { status: response.status, body: await response.json() as Record<string, unknown> };
    }

    public dispose(): void {
        for (const resource of this.resources) {
            resource.dispose();
        }
    }
}
