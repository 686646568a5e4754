import type { Disposable } from "../../common/Disposable.js";
import { DisposableStore } from "../../common/DisposableStore.js";
import type { RoutingTable } from "../../common/leased/RoutingTable.js";
import type { Runtime } from "../../common/Runtime.js";
import type { Channel } from "../../common/wire/Channel.js";
import type { EndpointControl } from "./EndpointControl.js";
import type { EndpointReport } from "./EndpointReport.js";
import type { EndpointReportStore } from "./EndpointReportStore.js";
import { EndpointRuns } from "./EndpointRuns.js";
import { EndpointSession } from "./EndpointSession.js";
import { EntryDialer } from "./EntryDialer.js";
import { EntryLinks } from "./EntryLinks.js";
import { LeaseEvent } from "./LeaseEvent.js";
import { LinkCountTarget } from "./LinkCountTarget.js";

/** Interval at which a draining agent checks whether its runs have ended. */
const DRAIN_CHECK_MS = 25;

/** Time that a draining agent waits for orders that its entries sent before they were notified. */
const ORDERS_IN_FLIGHT_MS = 300;

/**
 * Interval between adjustments of the number of entry connections. The agent counts that entries report lag some
 * seconds behind such changes.
 */
const ADAPT_INTERVAL_MS = 5000;

interface LeasedAgentOptions {
    /** Name of the VM. */
    readonly id: string;
    readonly control: EndpointControl;
    readonly routes: RoutingTable;
    /** Opens a channel to the entry at `ip:port`. */
    readonly dial: (address: string) => Promise<Channel>;
    /** Fencing token of this agent process, higher than that of any earlier agent process on this VM. */
    readonly fence: number;
    /** Decides how many entries the agent connects to. */
    readonly target?: LinkCountTarget;
    /** Stores the endpoint's last report, so that it survives a restart of the agent. */
    readonly reportStore?: EndpointReportStore;
}

/**
 * Agent that runs tasks under leases at the endpoint on its VM, on run orders of the entries that it is attached to.
 */
export class LeasedAgent implements Disposable {
    private readonly disposables = new DisposableStore();
    private readonly session: EndpointSession;
    private readonly runs: EndpointRuns;
    private readonly links: EntryLinks;
    private readonly dialer: EntryDialer;
    private readonly target: LinkCountTarget;
    private cancelAdapt: (() => void) | undefined;

    constructor(private readonly options: LeasedAgentOptions, private readonly runtime: Runtime) {
        const { clock, log } = runtime;
        const { id, control, routes, dial, fence, target = new LinkCountTarget() } = options;
        this.target = target;
        this.session = this.disposables.add(new EndpointSession(control, clock, log, fence));
        this.runs = this.disposables.add(new EndpointRuns(this.session, clock, log));
        const addEntries = (addresses: readonly string[]) => this.dialer.addAddresses(addresses);
        this.links = this.disposables.add(new EntryLinks(this.session, this.runs, routes, addEntries, clock, log));
        const owner = {
            attach: (channel: Channel) => this.links.attach(channel),
            release: (channel: Channel) => this.links.release(channel),
        };
        this.dialer = this.disposables.add(new EntryDialer(id, target.entries, dial, owner, clock, log));
        this.session.onReport(() => this.handleReport());
        this.adaptLater();
    }

    /**
     * Loads the report that an earlier agent process stored, and polls that endpoint unless a heartbeat has arrived
     * before.
     */
    public async restoreEndpoint(): Promise<void> {
        const report = await this.options.reportStore?.load();
        if (report !== undefined) {
            this.session.restore(report);
        }
    }

    /** Handles a heartbeat of the endpoint. */
    public handleHeartbeat(report: EndpointReport): void {
        this.session.handleHeartbeat(report);
        this.links.scheduleReports();
    }

    /** Handles the deregistration of the endpoint `id`; that of any other endpoint is ignored. */
    public handleDeregistration(id: string): void {
        if (this.session.report?.life.id === id) {
            this.session.handleDeregistration();
            this.options.reportStore?.delete();
            this.links.scheduleReports();
        }
    }

    /** Adds entries that the agent may connect to. */
    public addEntryAddresses(addresses: readonly string[]): void {
        this.dialer.addAddresses(addresses);
    }

    /**
     * Stops accepting orders and waits up to `limitMs` for the runs to end, also for those of orders that are on their
     * way. Returns the tasks of the runs that are left.
     */
    public async drain(limitMs: number): Promise<readonly string[]> {
        this.runtime.log.write(LeaseEvent.Draining, { runs: this.runs.count, limitMs });
        this.links.stopAccepting();
        const from = this.runtime.clock.now();
        const elapsedMs = (): number => this.runtime.clock.now() - from;
        while (elapsedMs() < limitMs && (this.runs.count > 0 || elapsedMs() < ORDERS_IN_FLIGHT_MS)) {
            await new Promise<void>(resolve => {
                this.runtime.clock.schedule(DRAIN_CHECK_MS, resolve);
            });
        }
        return this.runs.tasks;
    }

    public dispose(): void {
        this.cancelAdapt?.();
        this.disposables.dispose();
    }

    /** Handles a heartbeat of the incarnation that is now the current one, or the end of doubt about it. */
    private handleReport(): void {
        const { report } = this.session;
        if (report !== undefined) {
            this.options.reportStore?.save(report);
        }
        this.links.scheduleReports();
    }

    private adaptLater(): void {
        this.cancelAdapt = this.runtime.clock.schedule(ADAPT_INTERVAL_MS, () => {
            const agents = this.links.agentCounts;
            if (this.target.adapt(agents, this.dialer.knownCount)) {
                this.runtime.log.write(LeaseEvent.EntryCountChanged, { entries: this.target.entries, agents });
                this.dialer.setWantedCount(this.target.entries);
            }
            this.adaptLater();
        });
    }
}
