import type { Disposable } from "../../common/Disposable.js";
import { DisposableStore } from "../../common/DisposableStore.js";
import type { RoutingTable } from "../../common/leased/RoutingTable.js";
import type { Runtime } from "../../common/Runtime.js";
import type { Channel } from "../../common/wire/Channel.js";
import type { EndpointControl } from "./EndpointControl.js";
import type { EndpointReport } from "./EndpointReport.js";
import type { EndpointReportStore } from "./EndpointReportStore.js";
import { EndpointSession } from "./EndpointSession.js";
import { EntryDialer } from "./EntryDialer.js";
import { EntryLinks } from "./EntryLinks.js";
import { LeaseEvent } from "./LeaseEvent.js";
import { LinkCountTarget } from "./LinkCountTarget.js";
import { Runs } from "./Runs.js";

/** How often a stopping agent looks whether its runs have ended. */
const DRAIN_CHECK_MS = 25;

/** How often the number of entries is adapted; entries need some seconds to hear of the agents that have changed theirs. */
const ADAPT_INTERVAL_MS = 5000;

interface LeasedAgentOptions {
    /** Name of the VM. */
    readonly id: string;
    readonly control: EndpointControl;
    readonly routes: RoutingTable;
    /** Opens a channel to the entry at `ip:port`. */
    readonly dial: (address: string) => Promise<Channel>;
    /** Orders the agent processes of this VM: higher than that of any earlier one. */
    readonly fence: number;
    /** Decides to how many entries the agent is attached. */
    readonly target?: LinkCountTarget;
    /** Keeps the endpoint's reports beyond the life of this process. */
    readonly reportStore?: EndpointReportStore;
}

/** Agent that runs tasks under leases at the endpoint beside it, on the orders of the entries that it is attached to. */
export class LeasedAgent implements Disposable {
    private readonly disposables = new DisposableStore();
    private readonly session: EndpointSession;
    private readonly runs: Runs;
    private readonly links: EntryLinks;
    private readonly dialer: EntryDialer;
    private readonly target: LinkCountTarget;
    private cancelAdapt: (() => void) | undefined;

    constructor(private readonly options: LeasedAgentOptions, private readonly runtime: Runtime) {
        const { clock, log } = runtime;
        const { id, control, routes, dial, fence, target = new LinkCountTarget() } = options;
        this.target = target;
        this.session = this.disposables.add(new EndpointSession(control, clock, log, fence));
        this.runs = this.disposables.add(new Runs(this.session, clock, log));
        const learn = (addresses: readonly string[]) => this.dialer.learn(addresses);
        this.links = this.disposables.add(new EntryLinks(this.session, this.runs, routes, learn, clock, log));
        const owner = {
            attach: (channel: Channel) => this.links.attach(channel),
            release: (channel: Channel) => this.links.release(channel),
        };
        this.dialer = this.disposables.add(new EntryDialer(id, target.entries, dial, owner, clock, log));
        this.adaptLater();
    }

    /** Tries the endpoint that an earlier process has known. */
    public async restoreEndpoint(): Promise<void> {
        const report = await this.options.reportStore?.recall();
        if (report !== undefined) {
            this.session.recall(report);
        }
    }

    /** Takes a heartbeat of the endpoint. */
    public handleHeartbeat(report: EndpointReport): void {
        this.session.announce(report);
        this.options.reportStore?.remember(report);
        this.links.reportSoon();
    }

    /** Takes the farewell of the endpoint named `id`. */
    public handleDeregistration(id: string): void {
        if (this.session.report?.life.id === id) {
            this.session.leave();
            this.options.reportStore?.forget();
            this.links.reportSoon();
        }
    }

    /** Learns addresses of entries. */
    public addEntryAddresses(addresses: readonly string[]): void {
        this.dialer.learn(addresses);
    }

    /** Takes no more orders and waits until the runs have ended, for at most `limitMs`. Returns the names of those left. */
    public async drain(limitMs: number): Promise<readonly string[]> {
        this.runtime.log.write(LeaseEvent.Stopping, { runs: this.runs.count, limitMs });
        this.links.stop();
        const until = this.runtime.clock.now() + limitMs;
        while (this.runs.count > 0 && this.runtime.clock.now() < until) {
            await new Promise<void>(resolve => {
                this.runtime.clock.schedule(DRAIN_CHECK_MS, resolve);
            });
        }
        return this.runs.names;
    }

    public dispose(): void {
        this.cancelAdapt?.();
        this.disposables.dispose();
    }

    private adaptLater(): void {
        this.cancelAdapt = this.runtime.clock.schedule(ADAPT_INTERVAL_MS, () => {
            const agents = this.links.agentCounts;
            if (this.target.adapt(agents, this.dialer.knownCount)) {
                this.runtime.log.write(LeaseEvent.EntriesWanted, { entries: this.target.entries, agents });
                this.dialer.resize(this.target.entries);
            }
            this.adaptLater();
        });
    }
}
