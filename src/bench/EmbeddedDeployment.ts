import { randomBytes } from "node:crypto";
import { request } from "undici";
import { Agent } from "../agent/Agent.js";
import { SilentLog } from "../common/log/SilentLog.js";
import { rendezvousRank } from "../common/rendezvousRank.js";
import type { RunningRole } from "../common/RunningRole.js";
import type { Runtime } from "../common/Runtime.js";
import { SeededRandom } from "../common/SeededRandom.js";
import { AgentSettings } from "../common/settings/AgentSettings.js";
import { EndpointSettings } from "../common/settings/EndpointSettings.js";
import { EntrySettings } from "../common/settings/EntrySettings.js";
import { PlatformSettings } from "../common/settings/PlatformSettings.js";
import { SystemClock } from "../common/SystemClock.js";
import { TicketCodec } from "../common/ticket/TicketCodec.js";
import { Endpoint } from "../endpoint/Endpoint.js";
import { Entry } from "../entry/Entry.js";
import { Platform } from "../platform/Platform.js";
import { CountingMetrics } from "./CountingMetrics.js";
import { countRepeatedStarts } from "./countRepeatedStarts.js";
import { InjectedFault } from "./InjectedFault.js";
import type { JobResult } from "./JobResult.js";
import type { LoadTarget } from "./LoadTarget.js";
import type { Profile } from "./Profile.js";
import type { RepeatedStarts } from "./RepeatedStarts.js";
import type { WorkerProfile } from "./WorkerProfile.js";

const HOST = "127.0.0.1";
const FREE_PORT = { host: HOST, port: 0 };
const SECRET_BYTES = 24;
const ATTACH_LIMIT_MS = 20_000;
const ATTACH_POLL_MS = 100;

interface Worker {
    readonly agent: Agent;
    readonly endpoint: Endpoint;
}

/** Complete deployment of a profile in this process, on loopback with ephemeral ports. */
export class EmbeddedDeployment {
    public readonly metrics = new CountingMetrics();
    private readonly runtime: Runtime;
    private readonly secret = randomBytes(SECRET_BYTES).toString("base64url");
    private readonly tokens: ReadonlyMap<string, string>;
    private readonly operatorToken = randomBytes(SECRET_BYTES).toString("base64url");
    private readonly entries: Entry[] = [];
    private readonly workers: Worker[] = [];
    private readonly roles: RunningRole[] = [];
    private startsBeforeFault = 0;

    constructor(
        private readonly profile: Profile,
        private readonly scheduler: string,
        seed: number,
    ) {
        this.runtime = {
            clock: new SystemClock(),
            log: new SilentLog(),
            metrics: this.metrics,
            random: new SeededRandom(seed),
        };
        this.tokens = new Map(profile.teams.map(({ name }) => {
            return [name, randomBytes(SECRET_BYTES).toString("base64url")];
        }));
    }

    public get target(): LoadTarget {
        const entries = this.entries.map(entry => `http://${HOST}:${entry.httpPort}`);
        return { service: this.profile.service, entries, tokens: this.tokens };
    }

    /** Starts every role, writes the configuration and waits until all agents are attached. */
    public async start(): Promise<void> {
        const platform = this.track(await Platform.start(PlatformSettings.parse({ http: FREE_PORT }), this.runtime));
        for (const entry of this.profile.entries) {
            await this.startEntry(entry, platform.port);
        }
        await this.putSections();
        for (const worker of this.profile.workers) {
            await this.startWorker(worker);
        }
        await this.waitForAgents();
    }

    /** Injects a fault now. Tasks that the faulty worker started before do not count as lost to the fault. */
    public async inject(injection: InjectedFault): Promise<void> {
        const worker = this.workers[0];
        if (worker === undefined) {
            return;
        }
        switch (injection) {
            case InjectedFault.FailingWorker:
                worker.endpoint.failureShare = 1;
                this.startsBeforeFault = worker.endpoint.starts.size;
                break;
            case InjectedFault.SilentWorker:
                worker.endpoint.silentShare = 1;
                this.startsBeforeFault = worker.endpoint.starts.size;
                break;
            case InjectedFault.KilledWorker:
                await worker.agent.dispose();
                await worker.endpoint.dispose();
                break;
            case InjectedFault.KilledEntry:
                await this.homeEntry().dispose();
                break;
            case InjectedFault.None:
                break;
        }
    }

    /** Number of tasks that the faulty worker has started since the fault. */
    public get startsSinceFault(): number {
        return (this.workers[0]?.endpoint.starts.size ?? 0) - this.startsBeforeFault;
    }

    /** Counts the tasks that were started more than once, over all endpoints. */
    public countRepeatedStarts(results: readonly JobResult[]): RepeatedStarts {
        const totals = new Map<string, number>();
        for (const { endpoint } of this.workers) {
            for (const [task, count] of endpoint.starts) {
                totals.set(task, (totals.get(task) ?? 0) + count);
            }
        }
        return countRepeatedStarts(results, totals, new TicketCodec(this.secret));
    }

    public async stop(): Promise<void> {
        for (const role of this.roles.reverse()) {
            await role.dispose();
        }
    }

    private async startEntry(entry: Profile["entries"][number], platformPort: number): Promise<void> {
        const settings = EntrySettings.parse({
            ...entry,
            region: this.profile.region,
            listen: FREE_PORT,
            http: FREE_PORT,
            secret: this.secret,
            tokens: [
                { token: this.operatorToken, role: "admin", team: "operators" },
                ...[...this.tokens].map(([team, token]) => ({ token, role: "caller", team })),
            ],
            entries: this.seeds(),
            platform: { url: `http://${HOST}:${platformPort}` },
            scheduler: this.scheduler,
        });
        this.entries.push(this.track(await Entry.start(settings, this.runtime)));
    }

    private async startWorker(worker: WorkerProfile): Promise<void> {
        const agent = this.track(
            await Agent.start(
                AgentSettings.parse({
                    id: worker.id,
                    region: this.profile.region,
                    failureDomain: worker.failureDomain,
                    rack: worker.rack,
                    listen: FREE_PORT,
                    announce: FREE_PORT,
                    secret: this.secret,
                    entries: this.seeds(),
                }),
                this.runtime,
            ),
        );
        const endpoint = this.track(
            await Endpoint.start(
                EndpointSettings.parse({
                    service: this.profile.service,
                    http: FREE_PORT,
                    agent: `http://${HOST}:${agent.announcePort}`,
                    slots: worker.slots,
                    connections: worker.connections,
                    speed: worker.speed,
                }),
                this.runtime,
            ),
        );
        this.workers.push({ agent, endpoint });
    }

    private seeds(): readonly string[] {
        return this.entries.map(entry => `${HOST}:${entry.wirePort}`);
    }

    /** Writes a configuration section of weight 1 for each team; the first team owns the service. */
    private async putSections(): Promise<void> {
        for (const [index, { name }] of this.profile.teams.entries()) {
            const services = index === 0 ? { [this.profile.service]: {} } : {};
            const response = await request(`${this.target.entries[0] ?? ""}/v1/config/sections/${name}`, {
                method: "PUT",
                headers: { "authorization": `Bearer ${this.operatorToken}`, "if-none-match": "*" },
                body: JSON.stringify({ team: name, services }),
            });
            if (response.statusCode !== 200) {
                throw new Error(`configuration section of team ${name} was refused: ${await response.body.text()}`);
            }
            await response.body.dump();
        }
    }

    private async waitForAgents(): Promise<void> {
        const giveUpAt = performance.now() + ATTACH_LIMIT_MS;
        while (performance.now() < giveUpAt) {
            const attached = await this.attachedAgents();
            if (attached === this.profile.workers.length && await this.everyEntryIssuesTickets()) {
                return;
            }
            await new Promise(resolve => setTimeout(resolve, ATTACH_POLL_MS));
        }
        throw new Error(`not all agents attached within ${ATTACH_LIMIT_MS} ms`);
    }

    /** Returns whether every entry has the configuration and finds the home entry, so that it issues tickets. */
    private async everyEntryIssuesTickets(): Promise<boolean> {
        const token = [...this.tokens.values()][0] ?? "";
        for (const entry of this.target.entries) {
            const response = await request(`${entry}/v1/tickets`, {
                method: "POST",
                headers: { "authorization": `Bearer ${token}`, "content-type": "application/json" },
                body: JSON.stringify({ service: this.profile.service, count: 1 }),
            });
            await response.body.dump();
            if (response.statusCode !== 200) {
                return false;
            }
        }
        return true;
    }

    /** Number of agents attached to the home entry. */
    private async attachedAgents(): Promise<number> {
        const response = await request(`http://${HOST}:${this.homeEntry().httpPort}/v1/services`, {
            headers: { authorization: `Bearer ${this.operatorToken}` },
        });
        const { services } = await response.body.json() as {
            readonly services: readonly { readonly name: string; readonly agents: number; }[];
        };
        return services.find(service => service.name === this.profile.service)?.agents ?? 0;
    }

    /** Home entry of the service's only shard: the first by rendezvous rank. */
    private homeEntry(): Entry {
        const ids = this.profile.entries.map(entry => entry.id);
        const best = rendezvousRank(`${this.profile.region}/${this.profile.service}/0`, ids)[0];
        const entry = this.entries[ids.indexOf(best ?? "")];
        if (entry === undefined) {
            throw new Error(`home entry of service ${this.profile.service} is not running`);
        }
        return entry;
    }

    private track<R extends RunningRole>(role: R): R {
        this.roles.push(role);
        return role;
    }
}
