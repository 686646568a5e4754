import type { Clock } from "../../common/Clock.js";
import { CoalescingTimer } from "../../common/CoalescingTimer.js";
import type { Disposable } from "../../common/Disposable.js";
import type { EndpointStatus } from "../../common/leased/EndpointStatus.js";
import type { RoutingTable } from "../../common/leased/RoutingTable.js";
import type { RunCompletion } from "../../common/leased/RunCompletion.js";
import { RunResult } from "../../common/leased/RunResult.js";
import type { Log } from "../../common/log/Log.js";
import type { Channel } from "../../common/wire/Channel.js";
import type { Message } from "../../common/wire/Message.js";
import { describeStatus } from "./describeStatus.js";
import type { EndpointRuns } from "./EndpointRuns.js";
import type { EndpointSession } from "./EndpointSession.js";
import { EntryLink } from "./EntryLink.js";
import { isWorthReporting } from "./isWorthReporting.js";
import { LeaseEvent } from "./LeaseEvent.js";

/** Delay that combines changes at about the same time into one report. */
const REPORT_DELAY_MS = 4;

/**
 * Minimum interval between two reports to one entry, multiplied by the number of attached entries: an agent sends at
 * most 50 reports a second in all, however many entries there are. Finished runs, and whether orders are accepted, are
 * reported at once.
 */
const REPORT_SPACING_MS = 20;

/**
 * Interval at which an unchanged status is reported as a heartbeat to entries with runs here; half as often to the
 * others.
 */
const REPORT_INTERVAL_MS = 200;

/** Intervals at which the entry leases are checked while there are runs, and while there are none. */
const CHECK_INTERVAL_MS = 50;
const IDLE_CHECK_INTERVAL_MS = 200;

/** Delay that combines finished runs into one message. */
const COMPLETIONS_DELAY_MS = 1;

/** Time for orders in flight to arrive after an entry was notified that no more are accepted. */
const RELEASE_DELAY_MS = 300;

interface AttachedEntry {
    readonly channel: Channel;
    readonly link: EntryLink;
    readonly completions: RunCompletion[];
    reportedAt: number;
    /** Status of the endpoint in the last report. */
    lastReport: EndpointStatus | undefined;
    /** Whether the status changed since the last report. */
    stale: boolean;
    /** Time from which the connection is closed as soon as the entry has no runs here; undefined while it is wanted. */
    closableAt: number | undefined;
}

/**
 * Owns the links to the attached entries: passes received messages to them, and reports finished runs and the
 * endpoint's status to the entries.
 */
export class EntryLinks implements Disposable {
    private readonly attached = new Map<string, AttachedEntry>();
    private connectionCount = 0;
    private readonly reportTimer: CoalescingTimer;
    private cancelHeartbeat: (() => void) | undefined;
    private cancelCheck: (() => void) | undefined;
    private cancelCompletions: (() => void) | undefined;
    private stopping = false;

    constructor(
        private readonly session: EndpointSession,
        private readonly runs: EndpointRuns,
        private readonly routes: RoutingTable,
        private readonly addEntryAddresses: (addresses: readonly string[]) => void,
        private readonly clock: Clock,
        private readonly log: Log,
    ) {
        this.reportTimer = new CoalescingTimer(clock, () => {
            this.sendDueReports();
        });
        runs.onCompletion(({ owner, completion, orderContinues }) => {
            this.queueCompletion(owner, completion, orderContinues);
        });
        runs.onUsageChange(() => {
            this.scheduleReports();
        });
        routes.onChange(document => {
            log.write(LeaseEvent.RoutesApplied, { version: document.version });
            this.sendAll({ kind: "routes", document });
        });
        this.heartbeat();
        this.checkLater();
    }

    /** Marks the endpoint's status as changed; each entry gets it with its next report. */
    public scheduleReports(): void {
        for (const entry of this.attached.values()) {
            entry.stale = true;
        }
        this.reportTimer.fireWithin(REPORT_DELAY_MS);
    }

    /** Stops accepting orders. */
    public stopAccepting(): void {
        this.stopping = true;
        this.reportAll();
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
        this.report(entry, this.currentStatus());
    }

    /** Stops accepting orders on a channel, and closes it once its runs have ended. */
    public release(channel: Channel): void {
        for (const entry of this.attached.values()) {
            if (entry.channel === channel) {
                entry.closableAt = this.clock.now() + RELEASE_DELAY_MS;
                this.report(entry, this.currentStatus());
            }
        }
    }

    /** Number of agents of this kind at each attached entry that has reported it. */
    public get agentCounts(): readonly number[] {
        return [...this.attached.values()].map(({ link }) => link.agentCount).filter(count => count !== undefined);
    }

    public dispose(): void {
        this.reportTimer.dispose();
        this.cancelHeartbeat?.();
        this.cancelCheck?.();
        this.cancelCompletions?.();
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

    /**
     * Queues a finished run for its report. An entry can use a completed task only together with the others of its
     * order, so its report waits a while for theirs.
     */
    private queueCompletion(owner: string, completion: RunCompletion, orderContinues: boolean): void {
        this.attached.get(owner)?.completions.push(completion);
        if (orderContinues && completion.result === RunResult.Done) {
            return;
        }
        this.cancelCompletions ??= this.clock.schedule(COMPLETIONS_DELAY_MS, () => {
            this.cancelCompletions = undefined;
            this.sendCompletions();
        });
    }

    /** Reports finished runs to their entries, with the capacity that they have freed. */
    private sendCompletions(): void {
        const finished = [...this.attached.values()].filter(entry => entry.completions.length > 0);
        if (finished.length === 0) {
            return;
        }
        const status = this.currentStatus();
        for (const entry of finished) {
            entry.channel.send({ kind: "ended", runs: entry.completions.splice(0) });
            this.report(entry, status);
        }
    }

    private heartbeat(): void {
        this.sendCompletions();
        const now = this.clock.now();
        const status = this.currentStatus();
        for (const entry of this.attached.values()) {
            const intervals = this.runs.has(entry.link.owner) ? 1 : 2;
            // The tolerance of half an interval lets a report by the previous timer count as due.
            if (now - entry.reportedAt >= (intervals - 0.5) * REPORT_INTERVAL_MS) {
                this.report(entry, status);
            }
        }
        this.cancelHeartbeat = this.clock.schedule(REPORT_INTERVAL_MS, () => {
            this.heartbeat();
        });
    }

    /** Reports to the entries whose last report is old enough, and schedules the reports to the others. */
    private sendDueReports(): void {
        const status = this.currentStatus();
        const now = this.clock.now();
        const spacingMs = REPORT_SPACING_MS * this.attached.size;
        let nextMs = Number.POSITIVE_INFINITY;
        for (const entry of this.attached.values()) {
            const waitMs = entry.reportedAt + spacingMs - now;
            if (entry.stale && isUrgent(entry, status)) {
                this.report(entry, status);
            }
            else if (!entry.stale || !isWorthReporting(entry.lastReport, status)) {
                entry.stale = false;
            }
            else if (waitMs <= 0) {
                this.report(entry, status);
            }
            else {
                nextMs = Math.min(nextMs, waitMs);
            }
        }
        if (nextMs < Number.POSITIVE_INFINITY) {
            this.reportTimer.fireWithin(Math.max(REPORT_DELAY_MS, nextMs));
        }
    }

    private reportAll(): void {
        const status = this.currentStatus();
        for (const entry of this.attached.values()) {
            this.report(entry, status);
        }
    }

    private report(entry: AttachedEntry, status: EndpointStatus): void {
        const { channel, link, closableAt } = entry;
        const reported = closableAt === undefined ? status : { ...status, accepting: false };
        channel.send({ kind: "load", condition: reported, orders: link.lastOrder, tenured: link.hasLease });
        entry.reportedAt = this.clock.now();
        entry.stale = false;
        entry.lastReport = status;
    }

    private currentStatus(): EndpointStatus {
        return describeStatus(this.session, this.runs, !this.stopping);
    }

    private sendAll(message: Message): void {
        for (const { channel } of this.attached.values()) {
            channel.send(message);
        }
    }
}

/** Whether the entry would send orders in vain, or leave the endpoint idle, until it gets the report. */
function isUrgent(entry: AttachedEntry, status: EndpointStatus): boolean {
    return entry.lastReport?.accepting !== status.accepting || entry.lastReport.incarnation !== status.incarnation;
}
