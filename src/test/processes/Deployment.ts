import assert from "node:assert/strict";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { CliEvent } from "../../cli/CliEvent.js";
import type { JobAnswer } from "../../common/job/JobAnswer.js";
import { rendezvousRank } from "../../common/rendezvousRank.js";
import { TicketCodec } from "../../common/ticket/TicketCodec.js";
import { ChildRole } from "./ChildRole.js";
import { EntryCaller } from "./EntryCaller.js";

const HOST = "127.0.0.1";
const ANY_PORT = { host: HOST, port: 0 };
const REGION = "r";
const TEAM = "team";
const SERVICE = "service";
const SECRET = "secret-of-the-process-tests";
const TOKEN = "token-of-the-process-tests";

/** Number of an entry's last log lines in the message about a failed submission. */
const LINES_SHOWN = 5;

/** Time until the exit of a process is known, after its connections have ended. */
const EXIT_REPORT_MS = 200;

/** Entry process and an HTTP client for it. */
interface EntryProcess {
    readonly role: ChildRole;
    readonly wire: string;
    readonly caller: EntryCaller;
}

/** Agent process and its stub endpoint, a separate process that keeps its counts of starts when the agent exits. */
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
    private lastNumber = 0;

    private constructor(private readonly directory: string, private readonly agentSettings: object) {}

    /** Starts all processes and waits until all entries issue tickets of the same home entry that list all agents. */
    public static async start(entries: number, workers: number, agentSettings: object = {}): Promise<Deployment> {
        const deployment = new Deployment(await mkdtemp(join(tmpdir(), "waxwingshunt-")), agentSettings);
        try {
            deployment.platform = await deployment.run("platform", "platform", { http: ANY_PORT });
            await deployment.addEntry();
            await Promise.all(Array.from({ length: entries - 1 }, () => deployment.addEntry()));
            await deployment.putSection(0);
            await Promise.all(Array.from({ length: workers }, () => deployment.addWorker()));
            await deployment.untilConverged();
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

    /** Adds an entry whose id makes it the home entry of the service. */
    public addHome(): Promise<EntryProcess> {
        const names = this.entries.map(entry => entry.role.name);
        for (;;) {
            const name = this.nextName("entry");
            if (rendezvousRank(`${REGION}/${SERVICE}/0`, [...names, name])[0] === name) {
                return this.addEntry(name);
            }
        }
    }

    public async addEntry(id = this.nextName("entry")): Promise<EntryProcess> {
        const role = await this.run("entry", id, {
            id,
            region: REGION,
            failureDomain: "a",
            listen: ANY_PORT,
            http: ANY_PORT,
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
            listen: ANY_PORT,
            announce: ANY_PORT,
            secret: SECRET,
            entries: this.seeds(),
            ...this.agentSettings,
        });
        const endpoint = await this.run("endpoint", `endpoint-of-${id}`, {
            service: SERVICE,
            http: ANY_PORT,
            agent: `http://${HOST}:${agent.field(2001, "announcePort")}`,
            slots: 4,
        });
        const address = `${HOST}:${agent.field(2001, "port")}`;
        const endpointUrl = `http://${HOST}:${endpoint.field(4001, "port")}`;
        const worker = { agent, address, endpoint, endpointUrl };
        this.workers.push(worker);
        return worker;
    }

    /** Writes the section of the team if its revision is `revision` (0 creates it); returns the HTTP status. */
    public putSection(revision: number, entry = this.entries[0]!): Promise<number> {
        return entry.caller.putSection(TEAM, revision, { team: TEAM, services: { [SERVICE]: {} } });
    }

    /**
     * Submits a job whose answer the test awaits later. If the connection ends before the answer, awaiting it fails with
     * the cause and with what became of the entry's process.
     */
    public submit(entry: EntryProcess, ticket: string, runsMs: readonly number[]): Promise<JobAnswer> {
        const submittedAt = performance.now();
        const answer = entry.caller.answer(ticket, runsMs).catch(async (error: unknown) => {
            const afterMs = Math.round(performance.now() - submittedAt);
            await sleep(EXIT_REPORT_MS);
            const { name, exit, lines } = entry.role;
            const seen = JSON.stringify({ exit, lines: lines.slice(-LINES_SHOWN) });
            throw new Error(`submission to ${name} failed after ${afterMs} ms: ${describe(error)}; ${seen}`);
        });
        // Without a handler a rejection would end the test at once, before it shows how the other entries answer.
        answer.catch(() => undefined);
        return answer;
    }

    /** Requests `count` tickets in one call to an entry. */
    public async tickets(count: number, entry = this.entries[0]!): Promise<readonly string[]> {
        return await entry.caller.tickets(count);
    }

    /** Returns the entry that issued the ticket, and another one that runs. */
    public issuerAndOther(ticket: string): { readonly issuer: EntryProcess; readonly other: EntryProcess; } {
        const { address } = this.decode(ticket);
        const issuer = this.entries.find(entry => entry.wire === address);
        const other = this.entries.find(entry => entry !== issuer && entry.role.exit === undefined);
        assert.ok(issuer !== undefined && other !== undefined);
        return { issuer, other };
    }

    /** Number of starts of each task, summed over all endpoints; the keys are `issuer/sequence/task`. */
    public async starts(): Promise<ReadonlyMap<string, number>> {
        const starts = new Map<string, number>();
        for (const counts of await Promise.all(this.workers.map(worker => this.startsOf(worker)))) {
            for (const [task, count] of Object.entries(counts)) {
                starts.set(task, (starts.get(task) ?? 0) + count);
            }
        }
        return starts;
    }

    /** Number of starts of each task at the endpoint of one worker. */
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

    /** Waits until `count` tasks in total have started. */
    public async untilStarted(count: number): Promise<void> {
        await ChildRole.until(`${count} starts`, async () => (await this.starts()).size >= count);
    }

    /** Waits until all running entries except `paused` issue tickets of one home entry that list all running agents. */
    public async untilConverged(paused: readonly EntryProcess[] = []): Promise<void> {
        const entries = this.entries.filter(entry => entry.role.exit === undefined && !paused.includes(entry));
        const agents = this.workers.filter(worker => worker.agent.exit === undefined).map(worker => worker.address);
        await ChildRole.until("tickets of one home entry that list all agents", async () => {
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
        this.lastNumber += 1;
        return `${kind}-${this.lastNumber}`;
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

/** Message of an error and of its cause, which names what ended a connection. */
function describe(error: unknown): string {
    const { message, cause } = error as Error;
    return cause instanceof Error ? `${message}, ${cause.message}` : message;
}
