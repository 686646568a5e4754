import type { Clock } from "../../common/Clock.js";
import { CoalescingTimer } from "../../common/CoalescingTimer.js";
import type { Disposable } from "../../common/Disposable.js";
import type { EndpointStatus } from "../../common/leased/EndpointStatus.js";
import type { RunCompletion } from "../../common/leased/RunCompletion.js";
import { RunResult } from "../../common/leased/RunResult.js";
import type { AttachedEntry } from "./AttachedEntry.js";
import { describeStatus } from "./describeStatus.js";
import type { EndpointRuns } from "./EndpointRuns.js";
import type { EndpointSession } from "./EndpointSession.js";
import { isWorthReporting } from "./isWorthReporting.js";

/** Delay that combines changes at about the same time into one report. */
const REPORT_DELAY_MS = 4;

/**
 * Minimum interval between two reports of a changed status to one entry, multiplied by the number of attached entries:
 * an agent sends at most 50 of them a second in all, however many entries there are. The limit does not hold for
 * heartbeats, reports with finished runs, and changes of the incarnation or of whether orders are accepted.
 */
const REPORT_SPACING_MS = 20;

/**
 * Interval at which an unchanged status is reported as a heartbeat to entries with runs here; half as often to the
 * others.
 */
const REPORT_INTERVAL_MS = 200;

/** Delay that combines finished runs into one message. */
const COMPLETIONS_DELAY_MS = 1;

/** Reports finished runs and the endpoint's status to the attached entries. */
export class EntryReports implements Disposable {
    private readonly reportTimer: CoalescingTimer;
    private cancelHeartbeat: (() => void) | undefined;
    private cancelCompletions: (() => void) | undefined;
    private stopping = false;

    /** `attached` are the attached entries by the names of their connections. */
    constructor(
        private readonly attached: ReadonlyMap<string, AttachedEntry>,
        private readonly session: EndpointSession,
        private readonly runs: EndpointRuns,
        private readonly clock: Clock,
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
        this.heartbeat();
    }

    /** Marks the endpoint's status as changed; each entry gets it with its next report. */
    public scheduleReports(): void {
        for (const entry of this.attached.values()) {
            entry.stale = true;
        }
        this.reportTimer.fireWithin(REPORT_DELAY_MS);
    }

    /** Reports to all entries that no more orders are accepted. */
    public stopAccepting(): void {
        this.stopping = true;
        const status = this.currentStatus();
        for (const entry of this.attached.values()) {
            this.sendReport(entry, status);
        }
    }

    /** Reports the current status to an entry at once. */
    public report(entry: AttachedEntry): void {
        this.sendReport(entry, this.currentStatus());
    }

    /** Reports the finished runs that are still queued, and stops. */
    public dispose(): void {
        this.reportTimer.dispose();
        this.cancelHeartbeat?.();
        this.cancelCompletions?.();
        this.sendCompletions();
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
            this.sendReport(entry, status);
        }
    }

    /** Reports what is due to all entries, and schedules the next heartbeat. */
    private heartbeat(): void {
        this.sendCompletions();
        const now = this.clock.now();
        const status = this.currentStatus();
        for (const entry of this.attached.values()) {
            const intervals = this.runs.has(entry.link.owner) ? 1 : 2;
            // The tolerance of half an interval lets a report by the previous timer count as due.
            if (now - entry.reportedAt >= (intervals - 0.5) * REPORT_INTERVAL_MS) {
                this.sendReport(entry, status);
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
                this.sendReport(entry, status);
            }
            else if (!entry.stale || !isWorthReporting(entry.lastReport, status)) {
                entry.stale = false;
            }
            else if (waitMs <= 0) {
                this.sendReport(entry, status);
            }
            else {
                nextMs = Math.min(nextMs, waitMs);
            }
        }
        if (nextMs < Number.POSITIVE_INFINITY) {
            this.reportTimer.fireWithin(Math.max(REPORT_DELAY_MS, nextMs));
        }
    }

    private sendReport(entry: AttachedEntry, status: EndpointStatus): void {
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
}

/** Whether the entry would send orders in vain, or leave the endpoint idle, until it gets the report. */
function isUrgent(entry: AttachedEntry, status: EndpointStatus): boolean {
    return entry.lastReport?.accepting !== status.accepting || entry.lastReport.incarnation !== status.incarnation;
}
