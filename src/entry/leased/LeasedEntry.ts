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
import { Patience } from "./Patience.js";
import { TargetFirst } from "./TargetFirst.js";

/** How often a stopping entry looks whether its jobs have been answered. */
const DRAIN_CHECK_MS = 25;

/** Delay that collects addresses of entries before agents are told; in a start, all entries become known within it. */
const SPREAD_DELAY_MS = 250;

/** Entry that dispatches jobs whose tasks run under leases. */
export class LeasedEntry implements Disposable {
    public readonly dispatcher: Dispatcher;
    private readonly disposables = new DisposableStore();
    private readonly channels: AgentChannels;
    private readonly addresses = new Set<string>();
    private readonly spread: CoalescingTimer;
    private stopping = false;
    private closed = false;

    constructor(
        public readonly routes: RoutingTable,
        ownAddress: string,
        failureDomain: string,
        private readonly runtime: Runtime,
    ) {
        const { clock, log, metrics, random } = runtime;
        this.addresses.add(ownAddress);
        this.channels = this.disposables.add(new AgentChannels(routes, () => [...this.addresses], clock, log));
        this.spread = this.disposables.add(new CoalescingTimer(clock, () => this.channels.spreadEntries()));
        const health = new AgentHealth(clock);
        this.dispatcher = this.disposables.add(
            new Dispatcher(
                this.channels,
                health,
                new FastestEndpoint(health, random, failureDomain),
                new TargetFirst(),
                new Patience(),
                clock,
                log,
                metrics,
                random,
            ),
        );
    }

    /** Whether new callers should come here. */
    public get ready(): boolean {
        return !this.stopping && this.routes.document !== undefined;
    }

    /** Whether connections of callers should end with their next answer. */
    public get draining(): boolean {
        return this.stopping;
    }

    /** Whether submissions are refused, because the process ends before they could be run. */
    public get refusing(): boolean {
        return this.closed;
    }

    public attach(channel: Channel): void {
        this.channels.attach(channel);
    }

    /** Learns addresses of other entries and tells the agents. */
    public addEntryAddresses(addresses: readonly string[]): void {
        const before = this.addresses.size;
        addresses.forEach(address => this.addresses.add(address));
        if (this.addresses.size > before) {
            this.spread.fireWithin(SPREAD_DELAY_MS);
        }
    }

    /**
     * Is not ready from now on, takes submissions for `openMs` more, and waits until every job is answered, for at most
     * `limitMs` in all.
     */
    public async drain(openMs: number, limitMs: number): Promise<void> {
        this.stopping = true;
        const { clock, log } = this.runtime;
        log.write(EntryLeaseEvent.Stopping, { jobs: this.dispatcher.size, openMs, limitMs });
        const from = clock.now();
        await this.wait(openMs);
        this.closed = true;
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
