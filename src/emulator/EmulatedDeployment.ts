import { EndpointReportStore } from "../agent/leased/EndpointReportStore.js";
import { LeasedAgent } from "../agent/leased/LeasedAgent.js";
import type { LinkCountTarget } from "../agent/leased/LinkCountTarget.js";
import type { JobSubmission } from "../common/leased/JobSubmission.js";
import type { Route } from "../common/leased/Route.js";
import { RoutingTable } from "../common/leased/RoutingTable.js";
import type { Log } from "../common/log/Log.js";
import { SilentLog } from "../common/log/SilentLog.js";
import { NoMetrics } from "../common/NoMetrics.js";
import type { Runtime } from "../common/Runtime.js";
import { SeededRandom } from "../common/SeededRandom.js";
import { VirtualClock } from "../common/VirtualClock.js";
import { Role } from "../common/wire/Role.js";
import type { JobOutcome } from "../entry/leased/JobOutcome.js";
import { LeasedEntry } from "../entry/leased/LeasedEntry.js";
import { CallDelivery } from "./CallDelivery.js";
import { EmulatedChannel } from "./EmulatedChannel.js";
import { EmulatedEndpoint } from "./EmulatedEndpoint.js";
import type { EndpointCallKind } from "./EndpointCallKind.js";
import { MemoryRowStore } from "./MemoryRowStore.js";
import { ProcessEndpointControl } from "./ProcessEndpointControl.js";
import type { RunRecord } from "./RunRecord.js";

const LINK_DELAY_MS = 1;

/** The clock advances in steps of this length, so that promises settle between timers. */
const STEP_MS = 1;

/** Microtask queue turns awaited between two clock steps. */
const SETTLE_TURNS = 12;

/** Difference between the fences of two successive agent processes; the fence rises within a process too. */
const FENCES_PER_PROCESS = 1000;

/** Start time of every endpoint's first incarnation. */
const FIRST_BORN_MS = 1;

interface DeploymentOptions {
    readonly entries: number;
    readonly agents: number;
    readonly seed: number;
    /** CPU capacity of each endpoint, in thousandths of a core. */
    readonly cpu: number;
    /** CPU that each task needs, in thousandths of a core. */
    readonly taskCpu: number;
    /** Run time of a task at an endpoint in milliseconds, and how it ends ("done" or "failed"). */
    readonly work: (task: string, endpoint: number) => { readonly ms: number; readonly how: string; };
    readonly deliveryOf?: (call: EndpointCallKind, task: string, endpoint: number) => CallDelivery;
    /** Time until a delayed call is executed, in milliseconds. */
    readonly deliveryDelayMs?: (call: EndpointCallKind, endpoint: number) => number;
    /** Whether a restarted endpoint executes delayed calls that were sent to its earlier incarnation. */
    readonly acceptsCallsToEarlierIncarnations?: boolean;
    /** Whether an endpoint that is down refuses connections; otherwise calls to it time out. */
    readonly refusesWhileDown?: boolean;
    /** Whether a crash of an endpoint resets the connections of waiting polls; otherwise they get a last list. */
    readonly resetsConnectionsAtCrash?: boolean;
    /** Number of failure domains over which entries and agents are spread; 1 by default. */
    readonly failureDomains?: number;
    /** Rate of the endpoints' clocks; 1 is exact. */
    readonly clockRate?: number;
    readonly log?: Log;
    /** Creates the policy for the number of entries that an agent connects to; agents have a default. */
    readonly linkTarget?: () => LinkCountTarget;
}

interface Link {
    readonly entry: number;
    readonly agent: number;
    readonly atAgent: EmulatedChannel;
    readonly atEntry: EmulatedChannel;
}

interface AgentProcess {
    readonly agent: LeasedAgent;
    readonly control: ProcessEndpointControl;
}

/** Entries, agents and endpoints in one process, on a virtual clock and in-memory connections. */
export class EmulatedDeployment {
    public readonly clock = new VirtualClock();
    public readonly entries: LeasedEntry[] = [];
    public readonly endpoints: EmulatedEndpoint[] = [];
    public readonly links: Link[] = [];
    public readonly route: Route = {
        name: "route",
        host: "host",
        prefix: "/",
        service: "service",
        priority: 0,
        maxAttempts: 4,
        timeoutMs: 1500,
        targetMs: 60,
        stretch: 1.6,
        advised: false,
    };
    /** Running agent processes by number; a stopped one is missing until its start. */
    private readonly agents = new Map<number, AgentProcess>();
    private readonly stoppedEntries = new Set<number>();
    private readonly reports = new MemoryRowStore();
    private readonly runtime: Runtime;
    private agentStarts = 0;

    constructor(private readonly options: DeploymentOptions) {
        this.runtime = {
            clock: this.clock,
            log: options.log ?? new SilentLog(),
            metrics: new NoMetrics(),
            random: new SeededRandom(options.seed),
        };
        for (let number = 0; number < options.entries; number += 1) {
            this.entries.push(this.createEntry(number));
        }
        for (let number = 0; number < options.agents; number += 1) {
            this.addEndpoint(number);
            this.startAgent(number);
            this.deliverHeartbeat(number, FIRST_BORN_MS, 1);
        }
    }

    /** All runs at all endpoints so far. */
    public get records(): readonly RunRecord[] {
        return this.endpoints.flatMap(endpoint => endpoint.records);
    }

    /** Advances the clock and lets promises settle after each step. */
    public async advance(ms: number): Promise<void> {
        for (let passed = 0; passed < ms; passed += STEP_MS) {
            this.clock.advance(STEP_MS);
            await settlePromises();
        }
    }

    /** Submits a job of `count` tasks to an entry; the signal aborts when the caller disconnects. */
    public submit(
        entry: number,
        id: string,
        count: number,
        estimateMs: number,
        callerSignal: AbortSignal = new AbortController().signal,
        budgetMs = this.route.timeoutMs,
        priority = 0,
    ): Promise<JobOutcome> {
        const need = { cpu: this.options.taskCpu, memoryMb: 1, gpu: 0 };
        const step = {
            count,
            need,
            estimateMs,
            after: [],
            requiredLabel: undefined,
            preferredRack: undefined,
            maxPerEndpoint: 0,
        };
        const submission: JobSubmission = { id, spec: "spec", steps: [step] };
        const found = this.entries[entry];
        if (found === undefined) {
            throw new Error(`entry ${entry} does not exist`);
        }
        return found.dispatcher.submit(submission, { ...this.route, priority }, budgetMs, callerSignal);
    }

    /** Drops all further messages on the connections between an entry and an agent, in one direction or both. */
    public partition(entry: number, agent: number, direction: "to_agent" | "to_entry" | "both"): void {
        for (const link of this.links.filter(candidate => candidate.entry === entry && candidate.agent === agent)) {
            link.atEntry.dropsMessages ||= direction !== "to_entry";
            link.atAgent.dropsMessages ||= direction !== "to_agent";
        }
    }

    /** Delivers a heartbeat of the agent's endpoint to the agent, if its process runs; `id` may be of an earlier one. */
    public deliverHeartbeat(
        number: number,
        bornMs: number,
        sequence: number,
        draining = false,
        id = this.endpoints[number]?.life.id ?? "",
    ): void {
        this.agents.get(number)?.agent.handleHeartbeat({
            life: { id, bornMs },
            service: this.route.service,
            capacity: { cpu: this.options.cpu, memoryMb: 1000, gpu: 0 },
            labels: [],
            draining,
            sequence,
        });
    }

    /** Delivers the deregistration of the agent's endpoint; returns false when no agent process can receive it. */
    public deliverDeregistration(number: number): boolean {
        const process = this.agents.get(number);
        process?.agent.handleDeregistration(this.endpoints[number]?.life.id ?? "");
        return process !== undefined;
    }

    /** Starts an agent process. All but the first one of an agent load the stored report of the endpoint. */
    public startAgent(number: number): void {
        const endpoint = this.endpoints[number];
        if (endpoint === undefined || this.agents.has(number)) {
            throw new Error(`agent ${number} runs, or has no endpoint`);
        }
        this.agentStarts += 1;
        const control = new ProcessEndpointControl(endpoint);
        const agent = new LeasedAgent(
            {
                id: `agent-${number}`,
                control,
                routes: new RoutingTable(),
                dial: address => this.dial(number, Number(address.slice("entry-".length))),
                fence: this.agentStarts <= this.options.agents ? 1 : this.agentStarts * FENCES_PER_PROCESS,
                target: this.options.linkTarget?.(),
                reportStore: new EndpointReportStore(this.reports, `agent-${number}`, this.runtime.log),
            },
            this.runtime,
        );
        this.agents.set(number, { agent, control });
        agent.addEntryAddresses(this.entries.map((_, entry) => `entry-${entry}`));
        if (this.agentStarts > this.options.agents) {
            void agent.restoreEndpoint();
        }
    }

    /** Stops an agent process as on SIGTERM: it drains for up to `limitMs` and ends. */
    public async stopAgent(number: number, limitMs: number): Promise<void> {
        const process = this.agents.get(number);
        await process?.agent.drain(limitMs);
        process?.agent.dispose();
        process?.control.end();
        this.agents.delete(number);
    }

    /** Whether an entry process runs. */
    public isEntryUp(number: number): boolean {
        return !this.stoppedEntries.has(number);
    }

    /** Ends an entry process at once; its jobs are lost. */
    public stopEntry(number: number): void {
        this.stoppedEntries.add(number);
        this.entries[number]?.dispose();
    }

    /** Starts the next process of a stopped entry. */
    public startEntry(number: number): void {
        this.entries[number] = this.createEntry(number);
        this.stoppedEntries.delete(number);
    }

    private createEntry(number: number): LeasedEntry {
        return new LeasedEntry(new RoutingTable(), `entry-${number}`, this.domainOf(number), this.runtime);
    }

    private addEndpoint(number: number): void {
        const {
            deliveryDelayMs,
            acceptsCallsToEarlierIncarnations = false,
            refusesWhileDown = false,
            resetsConnectionsAtCrash = false,
            clockRate = 1,
        } = this.options;
        this.endpoints.push(
            new EmulatedEndpoint(this.clock, {
                id: `endpoint-${number}`,
                bornMs: FIRST_BORN_MS,
                capacity: { cpu: this.options.cpu, memoryMb: 1000, gpu: 0 },
                work: task => this.options.work(task, number),
                cpuOf: () => this.options.taskCpu,
                deliveryOf: (call, task) => this.options.deliveryOf?.(call, task, number) ?? CallDelivery.Answered,
                acceptsCallsToEarlierIncarnations,
                refusesWhileDown,
                resetsConnectionsAtCrash,
                clockRate,
                ...(deliveryDelayMs === undefined ? {} : { deliveryDelayMs: call => deliveryDelayMs(call, number) }),
            }),
        );
    }

    private dial(agent: number, entry: number): Promise<EmulatedChannel> {
        if (!this.isEntryUp(entry)) {
            return Promise.reject(new Error(`entry-${entry} does not run`));
        }
        const [atAgent, atEntry] = EmulatedChannel.pair(
            this.identity(Role.Agent, agent),
            this.identity(Role.Entry, entry),
            this.clock,
            LINK_DELAY_MS,
        );
        this.links.push({ entry, agent, atAgent, atEntry });
        this.entries[entry]?.attach(atEntry);
        return Promise.resolve(atAgent);
    }

    private identity(role: Role, number: number): EmulatedChannel["peer"] {
        const id = `${role}-${number}`;
        return { role, id, incarnation: "1", region: "region", failureDomain: this.domainOf(number), address: id };
    }

    private domainOf(number: number): string {
        return `domain-${number % (this.options.failureDomains ?? 1)}`;
    }
}

async function settlePromises(): Promise<void> {
    for (let turn = 0; turn < SETTLE_TURNS; turn += 1) {
        await Promise.resolve();
    }
}
