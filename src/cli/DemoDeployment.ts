import { randomBytes } from "node:crypto";
import type { RunningRole } from "../common/RunningRole.js";
import type { Runtime } from "../common/Runtime.js";
import { AgentSettings } from "../common/settings/AgentSettings.js";
import { EndpointSettings } from "../common/settings/EndpointSettings.js";
import { EntrySettings } from "../common/settings/EntrySettings.js";
import { PlatformSettings } from "../common/settings/PlatformSettings.js";
import type { DemoRoles } from "./DemoRoles.js";
import type { RunningEntry } from "./roles/RunningEntry.js";
import type { RunningPlatform } from "./roles/RunningPlatform.js";

const HOST = "127.0.0.1";
const FREE_PORT = { host: HOST, port: 0 };
const REGION = "demo";
const TEAM = "demo-team";
const SERVICE = "demo-service";
const SECRET_BYTES = 24;
const DRAIN_LIMIT_MS = 10_000;
const ENTRY_COUNT = 2;
/** Slots and speed of each worker. */
const WORKERS = [{ slots: 8, speed: 1 }, { slots: 4, speed: 0.5 }, { slots: 2, speed: 2 }];

/** Platform stub, two entries, and three agents with endpoints of unequal speed, in this process on loopback. */
export class DemoDeployment {
    public readonly service = SERVICE;
    public readonly team = TEAM;
    /** Token of an administrator of the demo team. */
    public readonly token = newSecret();
    private readonly secret = newSecret();
    private readonly started: { readonly name: string; readonly role: RunningRole; }[] = [];
    private readonly entryPorts: number[] = [];

    constructor(private readonly roles: DemoRoles, private readonly runtime: Runtime) {}

    /** Base URLs of the entries. */
    public get entryUrls(): readonly string[] {
        return this.entryPorts.map(port => `http://${HOST}:${port}`);
    }

    /** Starts every role. After a failure, `stop` releases the roles that were started. */
    public async start(): Promise<void> {
        const platform = await this.track(
            "platform",
            this.roles.platform.start(PlatformSettings.parse({ http: FREE_PORT }), this.runtimeOf("platform")),
        );
        const entries: RunningEntry[] = [];
        for (let number = 1; number <= ENTRY_COUNT; number += 1) {
            entries.push(await this.startEntry(number, platform, entries));
        }
        this.entryPorts.push(...entries.map(entry => entry.httpPort));
        for (const [index, worker] of WORKERS.entries()) {
            await this.startWorker(index + 1, worker, entries);
        }
    }

    /** Drains every role in reverse order of their starts and returns one line for each piece of unfinished work. */
    public async stop(): Promise<readonly string[]> {
        const left: string[] = [];
        for (const { name, role } of this.started.reverse()) {
            try {
                const rest = await role.drain(DRAIN_LIMIT_MS);
                left.push(...rest.map(line => `${name}: ${line}`));
            }
            finally {
                await role.dispose();
            }
        }
        this.started.length = 0;
        return left;
    }

    private startEntry(
        number: number,
        platform: RunningPlatform,
        peers: readonly RunningEntry[],
    ): Promise<RunningEntry> {
        const id = `entry-${number}`;
        const settings = EntrySettings.parse({
            id,
            region: REGION,
            failureDomain: `domain-${number}`,
            listen: FREE_PORT,
            http: FREE_PORT,
            secret: this.secret,
            tokens: [{ token: this.token, role: "admin", team: TEAM }],
            entries: peers.map(addressOf),
            platform: { url: `http://${HOST}:${platform.port}` },
        });
        return this.track(id, this.roles.entry.start(settings, this.runtimeOf(id)));
    }

    private async startWorker(
        number: number,
        worker: (typeof WORKERS)[number],
        entries: readonly RunningEntry[],
    ): Promise<void> {
        const id = `agent-${number}`;
        const agentSettings = AgentSettings.parse({
            id,
            region: REGION,
            failureDomain: `domain-${(number - 1) % ENTRY_COUNT + 1}`,
            rack: `rack-${number}`,
            listen: FREE_PORT,
            announce: FREE_PORT,
            secret: this.secret,
            entries: entries.map(addressOf),
        });
        const agent = await this.track(id, this.roles.agent.start(agentSettings, this.runtimeOf(id)));
        const endpointSettings = EndpointSettings.parse({
            service: SERVICE,
            http: FREE_PORT,
            agent: `http://${HOST}:${agent.announcePort}`,
            ...worker,
        });
        const endpoint = `endpoint-${number}`;
        await this.track(endpoint, this.roles.endpoint.start(endpointSettings, this.runtimeOf(endpoint)));
    }

    private runtimeOf(process: string): Runtime {
        return { ...this.runtime, log: this.runtime.log.child({ process }) };
    }

    private async track<R extends RunningRole>(name: string, starting: Promise<R>): Promise<R> {
        const role = await starting;
        this.started.push({ name, role });
        return role;
    }
}

function addressOf(entry: RunningEntry): string {
    return `${HOST}:${entry.wirePort}`;
}

function newSecret(): string {
    return randomBytes(SECRET_BYTES).toString("base64url");
}
