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
import type { RunRecord } from "./RunRecord.js";

const LINK_DELAY_MS = 1;

/** The clock advances in steps of this length, so that promises settle between timers. */
const STEP_MS = 1;

/** Microtask queue turns awaited between two clock steps. */
const SETTLE_TURNS = 12;

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
    private readonly agents: LeasedAgent[] = [];
    private readonly runtime: Runtime;

    constructor(private readonly options: DeploymentOptions) {
        this.runtime = {
            clock: this.clock,
            log: options.log ?? new SilentLog(),
            metrics: new NoMetrics(),
            random: new SeededRandom(options.seed),
        };
        for (let number = 0; number < options.entries; number += 1) {
            this.entries.push(new LeasedEntry(new RoutingTable(), `entry-${number}`, "domain", this.runtime));
        }
        for (let number = 0; number < options.agents; number += 1) {
            this.addAgent(number);
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

    /** Delivers a heartbeat of the agent's endpoint to the agent. */
    public deliverHeartbeat(number: number, bornMs: number, sequence: number, draining = false): void {
        this.agents[number]?.handleHeartbeat({
            life: { id: `endpoint-${number}`, bornMs },
            service: this.route.service,
            capacity: { cpu: this.options.cpu, memoryMb: 1000, gpu: 0 },
            labels: [],
            draining,
            sequence,
        });
    }

    private addAgent(number: number): void {
        const {
            deliveryDelayMs,
            acceptsCallsToEarlierIncarnations = false,
            refusesWhileDown = false,
            clockRate = 1,
        } = this.options;
        const endpoint = new EmulatedEndpoint(this.clock, {
            id: `endpoint-${number}`,
            bornMs: FIRST_BORN_MS,
            capacity: { cpu: this.options.cpu, memoryMb: 1000, gpu: 0 },
            work: task => this.options.work(task, number),
            cpuOf: () => this.options.taskCpu,
            deliveryOf: (call, task) => this.options.deliveryOf?.(call, task, number) ?? CallDelivery.Answered,
            acceptsCallsToEarlierIncarnations,
            refusesWhileDown,
            clockRate,
            ...(deliveryDelayMs === undefined ? {} : { deliveryDelayMs: call => deliveryDelayMs(call, number) }),
        });
        this.endpoints.push(endpoint);
        const dial = (address: string) => this.dial(number, Number(address.slice("entry-".length)));
        const target = this.options.linkTarget?.();
        const agent = new LeasedAgent(
            { id: `agent-${number}`, control: endpoint, routes: new RoutingTable(), dial, fence: 1, target },
            this.runtime,
        );
        this.agents.push(agent);
        agent.addEntryAddresses(this.entries.map((_, entry) => `entry-${entry}`));
        this.deliverHeartbeat(number, FIRST_BORN_MS, 1);
    }

    private dial(agent: number, entry: number): Promise<EmulatedChannel> {
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
        return { role, id, incarnation: "1", region: "region", failureDomain: "domain", address: id };
    }
}

async function settlePromises(): Promise<void> {
    for (let turn = 0; turn < SETTLE_TURNS; turn += 1) {
        await Promise.resolve();
    }
}
