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
import { describeCondition } from "./describeCondition.js";
import type { EndpointSession } from "./EndpointSession.js";
import { EntryLink } from "./EntryLink.js";
import { isWorthReporting } from "./isWorthReporting.js";
import { LeaseEvent } from "./LeaseEvent.js";
import type { Runs } from "./Runs.js";

/** Delay that collects the changes of one moment into one report. */
const REPORT_DELAY_MS = 4;

/**
 * Least time between two reports to one entry, for each attached entry: an agent sends at most 50 reports a second in all,
 * however many entries there are. Ends, and whether orders are taken, are reported at once.
 */
const REPORT_SPACING_MS = 20;

/** How often an unchanged condition is reported, as a sign of life; twice as often to entries with runs here. */
const REPORT_INTERVAL_MS = 200;

/** How often the tenures of the entries are checked while there are runs, and while there are none. */
const CHECK_INTERVAL_MS = 50;
const IDLE_CHECK_INTERVAL_MS = 200;

/** Delay that collects ends of runs into one message. */
const ENDS_DELAY_MS = 1;

/** Time for orders that are on their way when an entry is told to send no more. */
const RELEASE_MS = 300;

interface Attached {
    readonly channel: Channel;
    readonly link: EntryLink;
    readonly ends: RunCompletion[];
    reportedAt: number;
    /** Last report. */
    reported: EndpointStatus | undefined;
    /** Whether the condition changed since the last report. */
    stale: boolean;
    /** When the connection may be closed, once the entry has no runs here; undefined while it is wanted. */
    closableAt: number | undefined;
}

/** Controller of the attached entries: routes their messages to their links and reports the endpoint's condition. */
export class EntryLinks implements Disposable {
    private readonly attached = new Map<string, Attached>();
    private count = 0;
    private readonly reports: CoalescingTimer;
    private cancelHeartbeat: (() => void) | undefined;
    private cancelCheck: (() => void) | undefined;
    private cancelEnds: (() => void) | undefined;
    private stopping = false;

    constructor(
        private readonly session: EndpointSession,
        private readonly runs: Runs,
        private readonly routes: RoutingTable,
        private readonly learnEntries: (addresses: readonly string[]) => void,
        private readonly clock: Clock,
        private readonly log: Log,
    ) {
        this.reports = new CoalescingTimer(clock, () => {
            this.reportDue();
        });
        runs.onEnd(({ owner, end, more }) => {
            this.queueEnd(owner, end, more);
        });
        runs.onChange(() => {
            this.reportSoon();
        });
        routes.onChange(document => {
            log.write(LeaseEvent.RoutesTaken, { version: document.version });
            this.sendAll({ kind: "routes", document });
        });
        this.heartbeat();
        this.checkLater();
    }

    /** Notes that the endpoint's condition changed; each entry is told when its next report is due. */
    public reportSoon(): void {
        for (const entry of this.attached.values()) {
            entry.stale = true;
        }
        this.reports.fireWithin(REPORT_DELAY_MS);
    }

    /** Takes no orders from now on. */
    public stop(): void {
        this.stopping = true;
        this.reportAll();
    }

    /** Attaches an entry for as long as its channel is open. */
    public attach(channel: Channel): void {
        this.count += 1;
        const owner = `${channel.peer.id}#${this.count}`;
        const link = new EntryLink(channel, owner, this.session, this.runs, this.clock, this.log);
        const entry: Attached = {
            channel,
            link,
            ends: [],
            reportedAt: 0,
            reported: undefined,
            stale: true,
            closableAt: undefined,
        };
        this.attached.set(owner, entry);
        this.log.write(LeaseEvent.EntryAttached, { owner, incarnation: channel.peer.incarnation });
        channel.onMessage(message => {
            link.heard();
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
        this.report(entry, this.condition());
    }

    /** Takes no more orders on a channel and closes it once its runs have ended. */
    public release(channel: Channel): void {
        for (const entry of this.attached.values()) {
            if (entry.channel === channel) {
                entry.closableAt = this.clock.now() + RELEASE_MS;
                this.report(entry, this.condition());
            }
        }
    }

    /** Numbers of agents of this kind at the attached entries, of those that have told. */
    public get agentCounts(): readonly number[] {
        return [...this.attached.values()].map(({ link }) => link.agentCount).filter(count => count !== undefined);
    }

    public dispose(): void {
        this.reports.dispose();
        this.cancelHeartbeat?.();
        this.cancelCheck?.();
        this.cancelEnds?.();
        for (const { channel } of [...this.attached.values()]) {
            channel.close("agent stops");
        }
    }

    /** Checks the tenures of all entries by one timer. */
    private checkLater(): void {
        // A tenure is longer than the idle interval, so none that began meanwhile is checked too late.
        const intervalMs = this.runs.count > 0 ? CHECK_INTERVAL_MS : IDLE_CHECK_INTERVAL_MS;
        this.cancelCheck = this.clock.schedule(intervalMs, () => {
            for (const entry of [...this.attached.values()]) {
                entry.link.check();
                this.closeReleased(entry);
            }
            this.checkLater();
        });
    }

    private closeReleased({ channel, link, closableAt }: Attached): void {
        if (closableAt !== undefined && this.clock.now() >= closableAt && !this.runs.has(link.owner)) {
            channel.close("agent has enough entries");
        }
    }

    private receive(link: EntryLink, message: Message): void {
        switch (message.kind) {
            case "tenure":
                link.takeTenure(message.untilMs);
                link.takeAgentCount(message.agents);
                break;
            case "run":
                link.takeOrder(message);
                break;
            case "abort":
                link.takeAbort(message);
                break;
            case "routes":
                this.routes.applyIfNewer(message.document);
                break;
            case "entries":
                this.learnEntries(message.addresses);
                break;
            default:
                break;
        }
    }

    /** A task that is done is of use to its entry only with the others of its order, so it waits for them a while. */
    private queueEnd(owner: string, end: RunCompletion, more: boolean): void {
        this.attached.get(owner)?.ends.push(end);
        if (more && end.result === RunResult.Done) {
            return;
        }
        this.cancelEnds ??= this.clock.schedule(ENDS_DELAY_MS, () => {
            this.cancelEnds = undefined;
            this.sendEnds();
        });
    }

    /** Tells entries the ends of their runs, with the room that these have freed. */
    private sendEnds(): void {
        const ended = [...this.attached.values()].filter(entry => entry.ends.length > 0);
        if (ended.length === 0) {
            return;
        }
        const condition = this.condition();
        for (const entry of ended) {
            entry.channel.send({ kind: "ended", runs: entry.ends.splice(0) });
            this.report(entry, condition);
        }
    }

    private heartbeat(): void {
        this.sendEnds();
        const now = this.clock.now();
        const condition = this.condition();
        for (const entry of this.attached.values()) {
            const intervals = this.runs.has(entry.link.owner) ? 1 : 2;
            if (now - entry.reportedAt >= (intervals - 0.5) * REPORT_INTERVAL_MS) {
                this.report(entry, condition);
            }
        }
        this.cancelHeartbeat = this.clock.schedule(REPORT_INTERVAL_MS, () => {
            this.heartbeat();
        });
    }

    /** Reports to the entries whose last report is old enough; the others follow. */
    private reportDue(): void {
        const condition = this.condition();
        const now = this.clock.now();
        const spacingMs = REPORT_SPACING_MS * this.attached.size;
        let nextMs = Number.POSITIVE_INFINITY;
        for (const entry of this.attached.values()) {
            const waitMs = entry.reportedAt + spacingMs - now;
            if (entry.stale && isUrgent(entry, condition)) {
                this.report(entry, condition);
            }
            else if (!entry.stale || !isWorthReporting(entry.reported, condition)) {
                entry.stale = false;
            }
            else if (waitMs <= 0) {
                this.report(entry, condition);
            }
            else {
                nextMs = Math.min(nextMs, waitMs);
            }
        }
        if (nextMs < Number.POSITIVE_INFINITY) {
            this.reports.fireWithin(Math.max(REPORT_DELAY_MS, nextMs));
        }
    }

    private reportAll(): void {
        const condition = this.condition();
        for (const entry of this.attached.values()) {
            this.report(entry, condition);
        }
    }

    private report(entry: Attached, condition: EndpointStatus): void {
        const { channel, link, closableAt } = entry;
        const told = closableAt === undefined ? condition : { ...condition, accepting: false };
        channel.send({ kind: "load", condition: told, orders: link.orderCount, tenured: link.isTenured });
        entry.reportedAt = this.clock.now();
        entry.stale = false;
        entry.reported = condition;
    }

    private condition(): EndpointStatus {
        return describeCondition(this.session, this.runs, !this.stopping);
    }

    private sendAll(message: Message): void {
        for (const { channel } of this.attached.values()) {
            channel.send(message);
        }
    }
}

/** Whether the entry would order in vain, or leave the endpoint idle, until it hears of the condition. */
function isUrgent(entry: Attached, condition: EndpointStatus): boolean {
    return entry.reported?.accepting !== condition.accepting || entry.reported.endpoint !== condition.endpoint;
}
