import { EndpointReportStore } from "../agent/leased/EndpointReportStore.js";
import { LeasedAgent } from "../agent/leased/LeasedAgent.js";
import type { JobSubmission } from "../common/leased/JobSubmission.js";
import type { Route } from "../common/leased/Route.js";
import { RoutingTable } from "../common/leased/RoutingTable.js";
import { SilentLog } from "../common/log/SilentLog.js";
import { NoMetrics } from "../common/NoMetrics.js";
import type { Runtime } from "../common/Runtime.js";
import { SeededRandom } from "../common/SeededRandom.js";
import { Verdict } from "../common/Verdict.js";
import { VirtualClock } from "../common/VirtualClock.js";
import { Role } from "../common/wire/Role.js";
import type { JobOutcome } from "../entry/leased/JobOutcome.js";
import { LeasedEntry } from "../entry/leased/LeasedEntry.js";
import { CallDelivery } from "./CallDelivery.js";
import type { DeploymentOptions } from "./DeploymentOptions.js";
import { EmulatedChannel } from "./EmulatedChannel.js";
import { EmulatedEndpoint } from "./EmulatedEndpoint.js";
import type { EmulatedProcess } from "./EmulatedProcess.js";
import { MemoryRowStore } from "./MemoryRowStore.js";
import { ProcessEndpointControl } from "./ProcessEndpointControl.js";
import { PromptProcess } from "./PromptProcess.js";
import type { RunRecord } from "./RunRecord.js";
import { settlePromises } from "./settlePromises.js";

const LINK_DELAY_MS = 1;

/** The clock advances in steps of this length, so that promises settle between timers. */
const STEP_MS = 1;

/** Time after which an agent gives an attempt to connect to an entry up. */
const DIAL_TIMEOUT_MS = 1000;

/** Difference between the fences of two successive agent processes; the fence rises within a process too. */
const FENCES_PER_PROCESS = 1000;

/** Start time of every endpoint's first incarnation. */
const FIRST_BORN_MS = 1;

/** Stands for the response to a caller that had disconnected before its submission was handled. */
const DROPPED: JobOutcome = {
    kind: "refused",
    verdict: Verdict.MayHaveRun,
    reason: "the caller has disconnected",
    retryAfterMs: 0,
};

interface Link {
    readonly entry: number;
    readonly agent: number;
    readonly atAgent: EmulatedChannel;
    readonly atEntry: EmulatedChannel;
}

interface AgentProcess {
    readonly agent: LeasedAgent;
    readonly control: ProcessEndpointControl;
    readonly process: EmulatedProcess;
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
    private readonly entryProcesses: EmulatedProcess[] = [];
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
            this.createEntry(number);
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
            for (const process of [...this.entryProcesses, ...this.agentProcesses]) {
                await process.run();
            }
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
        const process = this.entryProcesses[entry];
        if (found === undefined || process === undefined) {
            throw new Error(`entry ${entry} does not exist`);
        }
        return process.serve(
            disconnected => found.dispatcher.submit(submission, { ...this.route, priority }, budgetMs, disconnected),
            callerSignal,
            DROPPED,
        );
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
        const { agent, process } = this.agents.get(number) ?? {};
        process?.receive(() =>
            agent?.handleHeartbeat({
                life: { id, bornMs },
                service: this.route.service,
                capacity: { cpu: this.options.cpu, memoryMb: 1000, gpu: 0 },
                labels: [],
                draining,
                sequence,
            })
        );
    }

    /**
     * Delivers the deregistration of the agent's endpoint; returns false when no agent process can acknowledge it at
     * present.
     */
    public deliverDeregistration(number: number): boolean {
        const id = this.endpoints[number]?.life.id ?? "";
        const { agent, process } = this.agents.get(number) ?? {};
        process?.receive(() => agent?.handleDeregistration(id));
        return process?.isStalled === false;
    }

    /** Starts an agent process. All but the first one of an agent load the stored report of the endpoint. */
    public startAgent(number: number): void {
        const endpoint = this.endpoints[number];
        if (endpoint === undefined || this.agents.has(number)) {
            throw new Error(`agent ${number} runs, or has no endpoint`);
        }
        this.agentStarts += 1;
        const process = this.createProcess();
        const control = new ProcessEndpointControl(endpoint, process);
        const agent = new LeasedAgent(
            {
                id: `agent-${number}`,
                control,
                routes: new RoutingTable(),
                dial: address => this.dial(number, process, Number(address.slice("entry-".length))),
                fence: this.agentStarts <= this.options.agents ? 1 : this.agentStarts * FENCES_PER_PROCESS,
                target: this.options.linkTarget?.(),
                reportStore: new EndpointReportStore(this.reports, `agent-${number}`, this.runtime.log),
            },
            { ...this.runtime, clock: process.clock },
        );
        this.agents.set(number, { agent, control, process });
        agent.addEntryAddresses(this.entries.map((_, entry) => `entry-${entry}`));
        if (this.agentStarts > this.options.agents) {
            void agent.restoreEndpoint();
        }
    }

    /** Stops an agent process as on SIGTERM: it drains for up to `limitMs` and ends. */
    public async stopAgent(number: number, limitMs: number): Promise<void> {
        const { agent, control, process } = this.agents.get(number) ?? {};
        await new Promise<unknown>(resolve => process?.receive(() => resolve(agent?.drain(limitMs))));
        agent?.dispose();
        control?.end();
        process?.end();
        this.agents.delete(number);
    }

    /** Makes the process of an entry stand still for `ms`, after `callbacks` more callbacks. */
    public stallEntry(number: number, ms: number, callbacks: number): void {
        this.entryProcesses[number]?.stall(ms, callbacks);
    }

    /** Makes the process of an agent stand still for `ms`, after `callbacks` more callbacks, if it runs. */
    public stallAgent(number: number, ms: number, callbacks: number): void {
        this.agents.get(number)?.process.stall(ms, callbacks);
    }

    public isEntryStalled(number: number): boolean {
        return this.entryProcesses[number]?.isStalled === true;
    }

    /** Whether an entry process runs. */
    public isEntryUp(number: number): boolean {
        return !this.stoppedEntries.has(number);
    }

    /** Ends an entry process at once; its jobs are lost. */
    public stopEntry(number: number): void {
        this.stoppedEntries.add(number);
        this.entryProcesses[number]?.end();
        this.entries[number]?.dispose();
    }

    /** Starts the next process of a stopped entry. */
    public startEntry(number: number): void {
        this.createEntry(number);
        this.stoppedEntries.delete(number);
    }

    private get agentProcesses(): readonly EmulatedProcess[] {
        return [...this.agents.values()].map(({ process }) => process);
    }

    private createProcess(): EmulatedProcess {
        return this.options.createProcess?.(this.clock) ?? new PromptProcess(this.clock);
    }

    private createEntry(number: number): void {
        const process = this.createProcess();
        const runtime = { ...this.runtime, clock: process.clock };
        this.entryProcesses[number] = process;
        this.entries[number] = new LeasedEntry(new RoutingTable(), `entry-${number}`, this.domainOf(number), runtime);
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

    private async dial(agent: number, process: EmulatedProcess, entry: number): Promise<EmulatedChannel> {
        const entryProcess = this.entryProcesses[entry];
        if (!this.isEntryUp(entry) || entryProcess === undefined) {
            throw new Error(`entry-${entry} does not run`);
        }
        const [atAgent, atEntry] = EmulatedChannel.pair(
            this.identity(Role.Agent, agent),
            this.identity(Role.Entry, entry),
            this.clock,
            LINK_DELAY_MS,
            [process, entryProcess],
        );
        this.links.push({ entry, agent, atAgent, atEntry });
        const found = this.entries[entry];
        const accept = (): Promise<true> =>
            new Promise(resolve => {
                entryProcess.receive(() => {
                    found?.attach(atEntry);
                    resolve(true);
                });
            });
        if (!await process.call(accept, DIAL_TIMEOUT_MS, false)) {
            atAgent.close("not accepted in time");
            throw new Error(`entry-${entry} did not accept the connection in time`);
        }
        return atAgent;
    }

    private identity(role: Role, number: number): EmulatedChannel["peer"] {
        const id = `${role}-${number}`;
        return { role, id, incarnation: "1", region: "region", failureDomain: this.domainOf(number), address: id };
    }

    private domainOf(number: number): string {
        return `domain-${number % (this.options.failureDomains ?? 1)}`;
    }
}
