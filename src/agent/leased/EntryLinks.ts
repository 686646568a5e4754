import type { Clock } from "../../common/Clock.js";
import type { Disposable } from "../../common/Disposable.js";
import type { RoutingTable } from "../../common/leased/RoutingTable.js";
import type { Log } from "../../common/log/Log.js";
import type { Channel } from "../../common/wire/Channel.js";
import type { Message } from "../../common/wire/Message.js";
import type { AttachedEntry } from "./AttachedEntry.js";
import type { EndpointRuns } from "./EndpointRuns.js";
import type { EndpointSession } from "./EndpointSession.js";
import { EntryLink } from "./EntryLink.js";
import { EntryReports } from "./EntryReports.js";
import { LeaseEvent } from "./LeaseEvent.js";

/** Intervals at which the entry leases are checked while there are runs, and while there are none. */
const CHECK_INTERVAL_MS = 50;
const IDLE_CHECK_INTERVAL_MS = 200;

/** Time for orders in flight to arrive after an entry was notified that no more are accepted. */
const RELEASE_DELAY_MS = 300;

/** Owns the links to the attached entries: opens and closes them, and passes received messages to them. */
export class EntryLinks implements Disposable {
    private readonly attached = new Map<string, AttachedEntry>();
    private connectionCount = 0;
    private readonly reports: EntryReports;
    private cancelCheck: (() => void) | undefined;

    constructor(
        private readonly session: EndpointSession,
        private readonly runs: EndpointRuns,
        private readonly routes: RoutingTable,
        private readonly addEntryAddresses: (addresses: readonly string[]) => void,
        private readonly clock: Clock,
        private readonly log: Log,
    ) {
        this.reports = new EntryReports(this.attached, session, runs, clock);
        routes.onChange(document => {
            log.write(LeaseEvent.RoutesApplied, { version: document.version });
            this.sendAll({ kind: "routes", document });
        });
        this.checkLater();
    }

    /** Marks the endpoint's status as changed; each entry gets it with its next report. */
    public scheduleReports(): void {
        this.reports.scheduleReports();
    }

    /** Stops accepting orders. */
    public stopAccepting(): void {
        this.reports.stopAccepting();
    }

    /** Attaches an entry for as long as its channel is open. */
    public attach(channel: Channel): void {
        this.connectionCount += 1;
        const owner = `${channel.peer.id}#${this.connectionCount}`;
        const link = new EntryLink(channel, owner, this.session, this.runs, this.clock, this.log);
        const entry: AttachedEntry = {
            channel,
            link,
            completions: [],
            reportedAt: 0,
            lastReport: undefined,
            stale: true,
            closableAt: undefined,
        };
        this.attached.set(owner, entry);
        this.log.write(LeaseEvent.EntryAttached, { owner, incarnation: channel.peer.incarnation });
        channel.onMessage(message => {
            link.recordMessage();
            this.receive(link, message);
        });
        channel.onClose(reason => {
            this.attached.delete(owner);
            this.log.write(LeaseEvent.EntryDetached, { owner, reason });
            link.dispose();
        });
        if (this.routes.document !== undefined) {
            channel.send({ kind: "routes", document: this.routes.document });
        }
        this.reports.report(entry);
    }

    /** Stops accepting orders on a channel, and closes it once its runs have ended. */
    public release(channel: Channel): void {
        for (const entry of this.attached.values()) {
            if (entry.channel === channel) {
                entry.closableAt = this.clock.now() + RELEASE_DELAY_MS;
                this.reports.report(entry);
            }
        }
    }

    /** Number of agents of this kind at each attached entry that has reported it. */
    public get agentCounts(): readonly number[] {
        return [...this.attached.values()].map(({ link }) => link.agentCount).filter(count => count !== undefined);
    }

    public dispose(): void {
        this.reports.dispose();
        this.cancelCheck?.();
        for (const { channel } of [...this.attached.values()]) {
            channel.close("agent stops");
        }
    }

    /** Schedules the next check of all entry leases. */
    private checkLater(): void {
        // An entry lease is longer than the idle interval, so one that begins meanwhile is still checked in time.
        const intervalMs = this.runs.count > 0 ? CHECK_INTERVAL_MS : IDLE_CHECK_INTERVAL_MS;
        this.cancelCheck = this.clock.schedule(intervalMs, () => {
            for (const entry of [...this.attached.values()]) {
                entry.link.checkTimeouts();
                this.closeReleased(entry);
            }
            this.checkLater();
        });
    }

    private closeReleased({ channel, link, closableAt }: AttachedEntry): void {
        if (closableAt !== undefined && this.clock.now() >= closableAt && !this.runs.has(link.owner)) {
            channel.close("agent has enough entries");
        }
    }

    private receive(link: EntryLink, message: Message): void {
        switch (message.kind) {
            case "tenure":
                link.renewLease(message.untilMs, message.incarnation);
                link.setAgentCount(message.agents);
                break;
            case "run":
                link.handleOrder(message);
                break;
            case "abort":
                link.handleAbort(message);
                break;
            case "routes":
                this.routes.applyIfNewer(message.document);
                break;
            case "entries":
                this.addEntryAddresses(message.addresses);
                break;
            default:
                break;
        }
    }

    private sendAll(message: Message): void {
        for (const { channel } of this.attached.values()) {
            channel.send(message);
        }
    }
}
