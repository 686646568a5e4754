import assert from "node:assert/strict";
import { Agent } from "../agent/Agent.js";
import { FaultCode } from "../common/FaultCode.js";
import type { Answer } from "../common/job/Answer.js";
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
import { Verdict } from "../common/Verdict.js";
import { Endpoint } from "../endpoint/Endpoint.js";
import { Entry } from "../entry/Entry.js";
import { EntryEvent } from "../entry/EntryEvent.js";
import { Platform } from "../platform/Platform.js";
import { FastClock } from "./FastClock.js";
import { Link } from "./Link.js";
import { LinkRules } from "./LinkRules.js";

const HOST = "127.0.0.1";
const FREE = { host: HOST, port: 0 };
const SECRET = "a secret of the deployment";
const TOKEN = "token of the tour team";
const TEAM = "tour";
const BALANCER = "balancer";

/** Heartbeats and time limits of entries and agents run this many times faster than real time. */
const CLOCK_FACTOR = 3;

const WAIT_LIMIT_MS = 40_000;
const POLL_MS = 10;

interface Reply {
    readonly status: number;
    readonly body: Answer & {
        readonly tickets: readonly string[];
        readonly error?: { readonly code: string; readonly message: string; };
        readonly members: readonly { readonly id: string; }[];
        readonly steps: readonly { readonly event: number; readonly task?: number; }[];
        readonly revision: number;
    };
}

/** Options of a submission; `repeatable` and `sizeMs` apply to each of its tasks. */
interface SubmitOptions {
    readonly deadlineMs?: number;
    readonly wait?: boolean;
    readonly onFailure?: "stop" | "continue";
    readonly repeatable?: boolean;
    readonly sizeMs?: number;
    readonly signal?: AbortSignal;
}

/** Entries, agents and endpoints in one process whose connections to each other pass through links. */
export class Deployment {
    public readonly service = TEAM;
    /** Seconds of the clock of entries and agents in one second. */
    public readonly clockFactor = CLOCK_FACTOR;
    public readonly rules = new LinkRules();
    public readonly entries = new Map<string, Entry>();
    public readonly agents = new Map<string, Agent>();
    public readonly endpoints = new Map<string, Endpoint>();
    private readonly links = new Map<string, Link>();
    private readonly clock = new FastClock(CLOCK_FACTOR);

    private constructor(public readonly platform: Platform) {}

    /** Starts the platform alone. */
    public static async create(): Promise<Deployment> {
        const runtime = runtimeOf("platform", new SystemClock());
        const deployment = new Deployment(await Platform.start({ http: FREE, writeDelayMs: 0 }, runtime));
        await deployment.link(BALANCER);
        return deployment;
    }

    /** Starts the platform, entries and agents by name, registers the service and waits until every agent is attached. */
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

    /** Resolves when `condition` holds; fails with `what` after a generous limit. */
    public static async until(what: string, condition: () => boolean | Promise<boolean>): Promise<void> {
        const end = performance.now() + WAIT_LIMIT_MS;
        while (!await condition()) {
            assert.ok(performance.now() < end, `timed out waiting for ${what}`);
            await new Promise(resolve => setTimeout(resolve, POLL_MS));
        }
    }

    /** Starts of each task at any endpoint, by `issuer/sequence/task`. */
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
        const link = await this.link(id);
        const settings = EntrySettings.parse({
            id,
            region,
            failureDomain,
            listen: FREE,
            http: FREE,
            advertise: link.address,
            secret: SECRET,
            tokens: [{ token: TOKEN, role: "admin", team: TEAM }],
            entries: this.seeds(id),
            platform: { url: `http://${HOST}:${this.platform.port}`, timeoutMs: 500 },
        });
        const entry = await Entry.start(settings, runtimeOf(id, this.clock));
        link.targetPort = entry.wirePort;
        this.balance(entry.wirePort);
        this.entries.set(id, entry);
        return entry;
    }

    public async startAgent(id: string, slots: number, more: object = {}): Promise<Agent> {
        const link = await this.link(id);
        const settings = AgentSettings.parse({
            id,
            region: "r",
            failureDomain: `domain-${id}`,
            rack: `rack-${id}`,
            listen: FREE,
            advertise: link.address,
            announce: FREE,
            secret: SECRET,
            entries: this.seeds(id, BALANCER),
            ...more,
        });
        const agent = await Agent.start(settings, runtimeOf(id, this.clock));
        link.targetPort = agent.port;
        this.agents.set(id, agent);
        const endpoint = EndpointSettings.parse({
            service: TEAM,
            http: FREE,
            agent: `http://${HOST}:${agent.announcePort}`,
            slots,
        });
        this.endpoints.set(id, await Endpoint.start(endpoint, runtimeOf(id, new SystemClock())));
        return agent;
    }

    /** Ends an entry or an agent without a farewell. */
    public async kill(id: string): Promise<void> {
        this.links.get(id)?.dispose();
        this.links.delete(id);
        await this.entries.get(id)?.dispose();
        await this.agents.get(id)?.dispose();
        this.entries.delete(id);
        this.agents.delete(id);
        const [first] = this.entries.values();
        this.balance(first?.wirePort ?? 0);
    }

    /** Waits until the entries know each other and `agents` agents are attached to them. */
    public async converge(entries: readonly string[], agents: number): Promise<void> {
        await Deployment.until("members and agents", async () => {
            const counts = await Promise.all(entries.map(async id => {
                const { body } = await this.call(id, "GET", "/v1/members");
                return body.members.length === entries.length ? this.attachedTo(id) : -Infinity;
            }));
            return counts.reduce((sum, count) => sum + count, 0) === agents;
        });
    }

    /** Number of agents attached to an entry. */
    public async attachedTo(id: string): Promise<number> {
        const { body } = await this.call(id, "GET", "/v1/services");
        const { services } = body as unknown as { services: { name: string; agents: number; }[]; };
        return services.find(service => service.name === TEAM)?.agents ?? 0;
    }

    /** Id of the entry that issued a ticket from `id`, by the ticket itself. */
    public issuerOf(ticket: string): string {
        const { issuer } = decodeTicket(ticket);
        return [...this.entries].find(([, entry]) => entry.identity.incarnation === issuer)?.[0] ?? "";
    }

    /** Key under which the endpoints count the starts of a task. */
    public taskKey(ticket: string, task: number): string {
        const { issuer, sequence } = decodeTicket(ticket);
        return `${issuer}/${sequence}/${task}`;
    }

    /** Tasks of a job that its issuer placed on an agent, by the job's story. */
    public async placedTasks(entry: string, ticket: string): Promise<ReadonlySet<number>> {
        const { body } = await this.call(entry, "GET", `/v1/jobs/${ticket}/story`);
        const placed = body.steps.filter(step => step.event === EntryEvent.TaskPlaced.number);
        return new Set(placed.flatMap(step => step.task ?? []));
    }

    /** Gets a ticket; asks again while no entry with agents is known, which is refused with verdict not_run. */
    public async ticket(entry: string): Promise<string> {
        let ticket: string | undefined;
        await Deployment.until(`a ticket of ${entry}`, async () => {
            const { status, body } = await this.call(entry, "POST", "/v1/tickets", { service: TEAM, count: 1 });
            assert.ok(status === 200 || status === 503 && body.verdict === "not_run", JSON.stringify(body));
            ticket = status === 200 ? body.tickets[0] : undefined;
            return ticket !== undefined;
        });
        return ticket ?? "";
    }

    /** Submits a job whose tasks run for `runMs` and answer their `value`; waits for the answer unless told not to. */
    public submit(
        entry: string,
        ticket: string,
        tasks: readonly { readonly runMs: number; readonly value: unknown; readonly fail?: boolean; }[],
        more: SubmitOptions = {},
    ): Promise<Reply> {
        const { repeatable, sizeMs, signal, ...fields } = more;
        const body = tasks.map(payload => ({ payload, repeatable, sizeMs }));
        const fixed = { ticket, service: TEAM, tasks: body };
        const whole = { deadlineMs: 60_000, wait: true, ...fixed, ...fields };
        return this.call(entry, "POST", "/v1/jobs", whole, {}, signal);
    }

    /** Submits until the job is not refused for overload; such a refusal says that nothing was run. */
    public async submitUntilTaken(...job: Parameters<Deployment["submit"]>): Promise<Reply> {
        let reply = await this.submit(...job);
        await Deployment.until("admission of the job", async () => {
            if (reply.body.error?.code !== FaultCode.Overloaded) {
                return true;
            }
            assert.equal(reply.body.verdict, Verdict.NotRun);
            reply = await this.submit(...job);
            return false;
        });
        return reply;
    }

    public async call(
        entry: string,
        method: string,
        path: string,
        body?: unknown,
        headers = {},
        signal?: AbortSignal,
    ): Promise<Reply> {
        const response = await fetch(`http://${HOST}:${this.entries.get(entry)?.httpPort ?? 0}${path}`, {
            method,
            headers: { authorization: `Bearer ${TOKEN}`, connection: "close", ...headers },
            ...signal === undefined ? {} : { signal },
            ...body === undefined ? {} : { body: JSON.stringify(body) },
        });
        return { status: response.status, body: await response.json() as Reply["body"] };
    }

    /** Writes the section of the team through an entry, against the revision `base`; 0 creates it. */
    public put(entry: string, base: number, maxQueuedTasks = 20_000): Promise<Reply> {
        const section = { team: TEAM, services: { [TEAM]: { maxQueuedTasks } } };
        const headers = base === 0 ? { "if-none-match": "*" } : { "if-match": `"${base}"` };
        return this.call(entry, "PUT", `/v1/config/sections/${TEAM}`, section, headers);
    }

    /** Revisions in force at the entry itself, and at the agents attached to it. */
    public async revisions(entry: string): Promise<readonly number[]> {
        const { body } = await this.call(entry, "GET", "/v1/config");
        const status = (await this.call(entry, "GET", "/v1/config/status")).body as unknown as {
            agents: readonly { readonly revision: number; }[];
        };
        return [body.revision, ...status.agents.map(agent => agent.revision)];
    }

    /** Changes the faults of the platform's store. */
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

    private async link(id: string): Promise<Link> {
        const link = await Link.start(id, this.rules);
        this.links.set(id, link);
        return link;
    }

    /** Points the load balancer's address at one entry. */
    private balance(port: number): void {
        const link = this.links.get(BALANCER);
        if (link !== undefined) {
            link.targetPort = port;
        }
    }

    /** Addresses of the entries that run; agents know the load balancer as well. */
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
