import { CoalescingTimer } from "../../common/CoalescingTimer.js";
import type { Disposable } from "../../common/Disposable.js";
import { DisposableStore } from "../../common/DisposableStore.js";
import type { RoutingTable } from "../../common/leased/RoutingTable.js";
import type { Runtime } from "../../common/Runtime.js";
import type { Channel } from "../../common/wire/Channel.js";
import { AgentChannels } from "./AgentChannels.js";
import { AgentHealth } from "./AgentHealth.js";
import { Dispatcher } from "./Dispatcher.js";
import { EntryLeaseEvent } from "./EntryLeaseEvent.js";
import { FastestEndpoint } from "./FastestEndpoint.js";
import { LeastSlackFirst } from "./LeastSlackFirst.js";
import { QueueTimeout } from "./QueueTimeout.js";

/** How often a draining entry checks whether all of its jobs have been answered. */
const DRAIN_CHECK_MS = 25;

/**
 * Delay before new addresses of entries are sent to the agents, so that one message has several; when the system
 * starts, all entries become known within it.
 */
const BROADCAST_DELAY_MS = 250;

/** Entry that dispatches jobs whose tasks run under leases. */
export class LeasedEntry implements Disposable {
    public readonly dispatcher: Dispatcher;
    private readonly disposables = new DisposableStore();
    private readonly channels: AgentChannels;
    private readonly addresses = new Set<string>();
    private readonly broadcastTimer: CoalescingTimer;
    private stopping = false;
    private refusesSubmissions = false;

    constructor(
        public readonly routes: RoutingTable,
        ownAddress: string,
        failureDomain: string,
        private readonly runtime: Runtime,
    ) {
        const { clock, log, metrics, random } = runtime;
        this.addresses.add(ownAddress);
        this.channels = this.disposables.add(new AgentChannels(routes, () => [...this.addresses], clock, log));
        this.broadcastTimer = this.disposables.add(
            new CoalescingTimer(clock, () => this.channels.broadcastEntryAddresses()),
        );
        const health = new AgentHealth(clock);
        this.dispatcher = this.disposables.add(
            new Dispatcher(
                this.channels,
                health,
                new FastestEndpoint(health, random, failureDomain),
                new LeastSlackFirst(),
                new QueueTimeout(),
                clock,
                log,
                metrics,
                random,
            ),
        );
    }

    /** Whether this entry should get new callers. */
    public get ready(): boolean {
        return !this.stopping && this.routes.document !== undefined;
    }

    /** Whether the connections of callers should be closed with their next answer. */
    public get draining(): boolean {
        return this.stopping;
    }

    /** Whether submissions are refused, because the process will end before they could be run. */
    public get refusing(): boolean {
        return this.refusesSubmissions;
    }

    public attach(channel: Channel): void {
        this.channels.attach(channel);
    }

    /** Adds addresses of other entries and sends them to the agents. */
    public addEntryAddresses(addresses: readonly string[]): void {
        const before = this.addresses.size;
        addresses.forEach(address => this.addresses.add(address));
        if (this.addresses.size > before) {
            this.broadcastTimer.fireWithin(BROADCAST_DELAY_MS);
        }
    }

    /**
     * Reports not ready from now on, accepts submissions for another `openMs`, and resolves when every job has been
     * answered or `limitMs` have passed since the call.
     */
    public async drain(openMs: number, limitMs: number): Promise<void> {
        this.stopping = true;
        const { clock, log } = this.runtime;
        log.write(EntryLeaseEvent.Draining, { jobs: this.dispatcher.size, openMs, limitMs });
        const from = clock.now();
        await this.wait(openMs);
        this.refusesSubmissions = true;
        while (this.dispatcher.size > 0 && clock.now() - from < limitMs) {
            await this.wait(DRAIN_CHECK_MS);
        }
    }

    public dispose(): void {
        this.disposables.dispose();
    }

    private wait(ms: number): Promise<void> {
        return new Promise(resolve => {
            this.runtime.clock.schedule(ms, resolve);
        });
    }
}
