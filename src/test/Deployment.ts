import assert from "node:assert/strict";
import { Agent } from "../agent/Agent.js";
import { SilentLog } from "../common/log/SilentLog.js";
import { NoMetrics } from "../common/NoMetrics.js";
import type { RunningRole } from "../common/RunningRole.js";
import type { Runtime } from "../common/Runtime.js";
import { SeededRandom } from "../common/SeededRandom.js";
import { AgentSettings } from "../common/settings/AgentSettings.js";
import { EndpointSettings } from "../common/settings/EndpointSettings.js";
import { EntrySettings } from "../common/settings/EntrySettings.js";
import { SystemClock } from "../common/SystemClock.js";
import type { Ticket } from "../common/ticket/Ticket.js";
import { TicketCodec } from "../common/ticket/TicketCodec.js";
import { Endpoint } from "../endpoint/Endpoint.js";
import { Entry } from "../entry/Entry.js";
import { Platform } from "../platform/Platform.js";
import { DeploymentClient } from "./DeploymentClient.js";
import { FastClock } from "./FastClock.js";
import { Link } from "./Link.js";
import { LinkRules } from "./LinkRules.js";
import { until } from "./until.js";

const HOST = "127.0.0.1";
const ANY_PORT = { host: HOST, port: 0 };
const SECRET = "a secret of the deployment";
const BALANCER = "balancer";

/** Heartbeats and time limits of entries and agents run this many times faster than real time. */
const CLOCK_FACTOR = 3;

/** Platform, entries, agents and endpoints in one process; entries and agents are connected through links. */
export class Deployment extends DeploymentClient {
    public static readonly until = until;
    /** Seconds of the clock of entries and agents in one second. */
    public readonly clockFactor = CLOCK_FACTOR;
    public readonly rules = new LinkRules();
    public readonly entries = new Map<string, Entry>();
    public readonly agents = new Map<string, Agent>();
    public readonly endpoints = new Map<string, Endpoint>();
    private readonly links = new Map<string, Link>();
    private readonly clock = new FastClock(CLOCK_FACTOR);

    private constructor(public readonly platform: Platform) {
        super();
    }

    /** Starts the platform only. */
    public static async create(): Promise<Deployment> {
        const runtime = runtimeOf("platform", new SystemClock());
        const deployment = new Deployment(await Platform.start({ http: ANY_PORT, writeDelayMs: 0 }, runtime));
        await deployment.link(BALANCER);
        return deployment;
    }

    /** Starts the platform, entries and agents, configures the service and waits until every agent is attached. */
    public static async start(entries: readonly string[], agents: readonly string[], slots = 4): Promise<Deployment> {
        const deployment = await Deployment.create();
        for (const id of entries) {
            await deployment.startEntry(id);
        }
        assert.equal((await deployment.put(entries[0] ?? "", 0)).status, 200);
        for (const id of agents) {
            await deployment.startAgent(id, slots);
        }
        await deployment.converge(entries, agents.length);
        return deployment;
    }

    /** Number of starts of each task, summed over all endpoints; the keys are `issuer/sequence/task`. */
    public get starts(): ReadonlyMap<string, number> {
        const starts = new Map<string, number>();
        for (const [task, count] of [...this.endpoints.values()].flatMap(endpoint => [...endpoint.starts])) {
            starts.set(task, (starts.get(task) ?? 0) + count);
        }
        return starts;
    }

    public get running(): number {
        return [...this.endpoints.values()].reduce((sum, endpoint) => sum + endpoint.running, 0);
    }

    public async startEntry(id: string, failureDomain = `domain-${id}`, region = "r"): Promise<Entry> {
        const startLink = await this.link(id);
        const settings = EntrySettings.parse({
            id,
            region,
            failureDomain,
            listen: ANY_PORT,
            http: ANY_PORT,
            advertise: startLink.address,
            secret: SECRET,
            tokens: [{ token: this.token, role: "admin", team: this.service }],
            entries: this.seeds(id),
            platform: { url: `http://${HOST}:${this.platform.port}`, timeoutMs: 500 },
        });
        const entry = await Entry.start(settings, runtimeOf(id, this.clock));
        startLink.targetPort = entry.wirePort;
        this.pointBalancerAt(id, entry.wirePort);
        this.entries.set(id, entry);
        return entry;
    }

    public async startAgent(id: string, slots: number, extraSettings: object = {}): Promise<Agent> {
        const link = await this.link(id);
        const settings = AgentSettings.parse({
            id,
            region: "r",
            failureDomain: `domain-${id}`,
            rack: `rack-${id}`,
            listen: ANY_PORT,
            advertise: link.address,
            announce: ANY_PORT,
            secret: SECRET,
            entries: this.seeds(id, BALANCER),
            ...extraSettings,
        });
        const agent = await Agent.start(settings, runtimeOf(id, this.clock));
        link.targetPort = agent.port;
        this.agents.set(id, agent);
        const endpoint = EndpointSettings.parse({
            service: this.service,
            http: ANY_PORT,
            agent: `http://${HOST}:${agent.announcePort}`,
            slots,
        });
        this.endpoints.set(id, await Endpoint.start(endpoint, runtimeOf(id, new SystemClock())));
        return agent;
    }

    /** Stops an entry or an agent as a crash does: its link is cut first, and it does not drain. */
    public async kill(id: string): Promise<void> {
        this.links.get(id)?.dispose();
        this.links.delete(id);
        await this.entries.get(id)?.dispose();
        await this.agents.get(id)?.dispose();
        this.entries.delete(id);
        this.agents.delete(id);
        const [first] = this.entries;
        this.pointBalancerAt(first?.[0] ?? BALANCER, first?.[1].wirePort ?? 0);
    }

    /** Waits until every entry lists all of `entries` as members and `agents` agents are attached to them in total. */
    public async converge(entries: readonly string[], agents: number): Promise<void> {
        await until("members and agents", async () => {
            const counts = await Promise.all(entries.map(async id => {
                const { body } = await this.call(id, "GET", "/v1/members");
                return body.members.length === entries.length ? this.attachedTo(id) : -Infinity;
            }));
            return counts.reduce((sum, count) => sum + count, 0) === agents;
        });
    }

    /** Id of the running entry whose incarnation issued the ticket, or an empty string. */
    public issuerOf(ticket: string): string {
        const { issuer } = decodeTicket(ticket);
        return [...this.entries].find(([, entry]) => entry.identity.incarnation === issuer)?.[0] ?? "";
    }

    /** Key under which the endpoints count the starts of a task. */
    public taskKey(ticket: string, task: number): string {
        const { issuer, sequence } = decodeTicket(ticket);
        return `${issuer}/${sequence}/${task}`;
    }

    /** Sets the faults that the platform stub injects into requests to its store. */
    public async setStore(plan: object): Promise<void> {
        const url = `http://${HOST}:${this.platform.port}/v1/faults`;
        const response = await fetch(url, { method: "POST", body: JSON.stringify(plan) });
        assert.equal(response.status, 200);
    }

    public async dispose(): Promise<void> {
        const roles: RunningRole[] = [...this.endpoints.values(), ...this.agents.values(), ...this.entries.values()];
        await Promise.all(roles.map(role => role.dispose()));
        await this.platform.dispose();
        for (const link of this.links.values()) {
            link.dispose();
        }
    }

    protected httpPortOf(entry: string): number {
        return this.entries.get(entry)?.httpPort ?? 0;
    }

    private async link(id: string): Promise<Link> {
        const link = await Link.start(id, this.rules);
        this.links.set(id, link);
        return link;
    }

    /** Points the load balancer's address at one entry. */
    private pointBalancerAt(id: string, port: number): void {
        const link = this.links.get(BALANCER);
        if (link !== undefined) {
            link.name = id;
            link.targetPort = port;
        }
    }

    /** Addresses of the running entries except `id`, and of the links named in `more`. */
    private seeds(id: string, ...more: readonly string[]): string[] {
        const entries = [...this.entries.keys()].filter(entry => entry !== id);
        return [...entries, ...more].flatMap(name => this.links.get(name)?.address ?? []);
    }
}

function decodeTicket(ticket: string): Ticket {
    return new TicketCodec(SECRET).decode(ticket).unsafeCoerce();
}

function runtimeOf(id: string, clock: Runtime["clock"]): Runtime {
    const seed = Buffer.from(id).reduce((sum, byte) => (sum * 31 + byte) % 65_521, 7);
    return { clock, log: new SilentLog(), metrics: new NoMetrics(), random: new SeededRandom(seed) };
}
