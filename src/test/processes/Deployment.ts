import assert from "node:assert/strict";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { CliEvent } from "../../cli/CliEvent.js";
import { TicketCodec } from "../../common/ticket/TicketCodec.js";
import { ChildRole } from "./ChildRole.js";
import { EntryCaller } from "./EntryCaller.js";

const HOST = "127.0.0.1";
const FREE = { host: HOST, port: 0 };
const REGION = "r";
const TEAM = "team";
const SERVICE = "service";
const SECRET = "secret-of-the-process-tests";
const TOKEN = "token-of-the-process-tests";

/** Entry process and a client for it. */
interface EntryProcess {
    readonly role: ChildRole;
    readonly wire: string;
    readonly caller: EntryCaller;
}

/** Agent process with its endpoint stand-in, a process of its own that outlives the agent and keeps its counts. */
interface WorkerProcess {
    readonly agent: ChildRole;
    readonly address: string;
    readonly endpoint: ChildRole;
    readonly endpointUrl: string;
}

/** Platform, entries and workers as child processes on loopback. */
export class Deployment {
    public readonly entries: EntryProcess[] = [];
    public readonly workers: WorkerProcess[] = [];
    public platform: ChildRole | undefined;
    private readonly roles: ChildRole[] = [];
    private readonly codec = new TicketCodec(SECRET);
    private numbers = 0;

    private constructor(private readonly directory: string, private readonly agentSettings: object) {}

    /** Starts everything and waits until every entry issues tickets of one home for all workers. */
    public static async start(entries: number, workers: number, agentSettings: object = {}): Promise<Deployment> {
        const deployment = new Deployment(await mkdtemp(join(tmpdir(), "waxwingshunt-")), agentSettings);
        try {
            deployment.platform = await deployment.run("platform", "platform", { http: FREE });
            await deployment.addEntry();
            await Promise.all(Array.from({ length: entries - 1 }, () => deployment.addEntry()));
            await deployment.putSection(0);
            await Promise.all(Array.from({ length: workers }, () => deployment.addWorker()));
            await deployment.untilSettled();
        }
        catch (error) {
            await deployment.stop();
            throw error;
        }
        return deployment;
    }

    public async stop(): Promise<void> {
        await Promise.all(this.roles.map(role => role.destroy()));
        await rm(this.directory, { recursive: true });
    }

    public async addEntry(): Promise<EntryProcess> {
        const id = this.nextName("entry");
        const role = await this.run("entry", id, {
            id,
            region: REGION,
            failureDomain: "a",
            listen: FREE,
            http: FREE,
            secret: SECRET,
            tokens: [{ token: TOKEN, role: "admin", team: TEAM }],
            entries: this.seeds(),
            platform: { url: `http://${HOST}:${this.platform!.field(3001, "port")}` },
        });
        const url = `http://${HOST}:${role.field(1070, "http")}`;
        const wire = `${HOST}:${role.field(1070, "wire")}`;
        const entry = { role, wire, caller: new EntryCaller(url, TOKEN, SERVICE) };
        this.entries.push(entry);
        return entry;
    }

    public async addWorker(): Promise<WorkerProcess> {
        const id = this.nextName("agent");
        const agent = await this.run("agent", id, {
            id,
            region: REGION,
            failureDomain: "a",
            rack: "k",
            listen: FREE,
            announce: FREE,
            secret: SECRET,
            entries: this.seeds(),
            ...this.agentSettings,
        });
        const endpoint = await this.run("endpoint", `endpoint-of-${id}`, {
            service: SERVICE,
            http: FREE,
            agent: `http://${HOST}:${agent.field(2001, "announcePort")}`,
            slots: 4,
        });
        const address = `${HOST}:${agent.field(2001, "port")}`;
        const endpointUrl = `http://${HOST}:${endpoint.field(4001, "port")}`;
        const worker = { agent, address, endpoint, endpointUrl };
        this.workers.push(worker);
        return worker;
    }

    /** Puts the section of the team against `revision` (0 for a new one); returns the status. */
    public putSection(revision: number, entry = this.entries[0]!): Promise<number> {
        return entry.caller.putSection(TEAM, revision, { team: TEAM, services: { [SERVICE]: {} } });
    }

    /** Takes tickets of one batch through an entry. */
    public async tickets(count: number, entry = this.entries[0]!): Promise<readonly string[]> {
        return await entry.caller.tickets(count);
    }

    /** Entry that issued the ticket and another live one. */
    public split(ticket: string): { readonly issuer: EntryProcess; readonly other: EntryProcess; } {
        const { address } = this.decode(ticket);
        const issuer = this.entries.find(entry => entry.wire === address);
        const other = this.entries.find(entry => entry !== issuer && entry.role.exit === undefined);
        assert.ok(issuer !== undefined && other !== undefined);
        return { issuer, other };
    }

    /** Starts of each task by `issuer/sequence/task`, summed over all endpoints. */
    public async starts(): Promise<ReadonlyMap<string, number>> {
        const starts = new Map<string, number>();
        for (const counts of await Promise.all(this.workers.map(worker => this.startsOf(worker)))) {
            for (const [task, count] of Object.entries(counts)) {
                starts.set(task, (starts.get(task) ?? 0) + count);
            }
        }
        return starts;
    }

    /** Starts of each task on one endpoint. */
    public async startsOf(worker: WorkerProcess): Promise<Readonly<Record<string, number>>> {
        const response = await fetch(`${worker.endpointUrl}/v1/starts`);
        return await response.json() as Record<string, number>;
    }

    /** Key of a task in `starts`. */
    public keyOf(ticket: string, task: number): string {
        const { issuer, sequence } = this.decode(ticket);
        return `${issuer}/${sequence}/${task}`;
    }

    public issuerOf(ticket: string): string {
        return this.decode(ticket).issuer;
    }

    /** Waits until `count` tasks have started in all. */
    public async untilStarted(count: number): Promise<void> {
        await ChildRole.until(`${count} starts`, async () => (await this.starts()).size >= count);
    }

    /** Waits until every live entry but the `paused` ones issues tickets of one home for all live workers. */
    public async untilSettled(paused: readonly EntryProcess[] = []): Promise<void> {
        const entries = this.entries.filter(entry => entry.role.exit === undefined && !paused.includes(entry));
        const agents = this.workers.filter(worker => worker.agent.exit === undefined).map(worker => worker.address);
        await ChildRole.until("one home with all agents", async () => {
            const tickets = await Promise.all(entries.map(entry => entry.caller.tickets(1).catch(() => [])));
            const decoded = tickets.flat().map(ticket => this.decode(ticket));
            const issuers = new Set(decoded.map(ticket => ticket.issuer));
            const complete = decoded.every(ticket => {
                const named = ticket.agents.map(agent => agent.address).sort();
                return JSON.stringify(named) === JSON.stringify([...agents].sort());
            });
            return decoded.length === entries.length && issuers.size === 1 && complete;
        });
    }

    private seeds(): readonly string[] {
        return this.entries.filter(entry => entry.role.exit === undefined).map(entry => entry.wire);
    }

    private decode(ticket: string) {
        return this.codec.decode(ticket).unsafeCoerce();
    }

    private nextName(kind: string): string {
        this.numbers += 1;
        return `${kind}-${this.numbers}`;
    }

    private async run(kind: string, name: string, settings: object): Promise<ChildRole> {
        const path = join(this.directory, `${name}.json`);
        await writeFile(path, JSON.stringify(settings));
        const role = ChildRole.start(kind, path, name);
        this.roles.push(role);
        await role.untilEvent(CliEvent.RoleStarted.number);
        return role;
    }
}
