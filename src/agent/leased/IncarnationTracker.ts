import type { Disposable } from "../../common/Disposable.js";
import { Emitter } from "../../common/Emitter.js";
import type { Log } from "../../common/log/Log.js";
import { AnnouncedIncarnation } from "./AnnouncedIncarnation.js";
import { EndpointDeparture } from "./EndpointDeparture.js";
import type { EndpointFence } from "./EndpointFence.js";
import type { EndpointLiveness } from "./EndpointLiveness.js";
import type { EndpointReport } from "./EndpointReport.js";
import type { IncarnationState } from "./IncarnationState.js";
import { isSameIncarnation } from "./isSameIncarnation.js";
import { LeaseEvent } from "./LeaseEvent.js";
import type { SentPoll } from "./SentPoll.js";

/** Lower than the sequence number of any heartbeat. */
const BEFORE_FIRST_HEARTBEAT = -1;

/** Determines from heartbeats and responses which incarnation of the endpoint is the current one. */
export class IncarnationTracker implements Disposable {
    private readonly deregistrations = new Emitter<undefined>();
    private readonly reports = new Emitter<undefined>();
    private readonly announcements = new Emitter<undefined>();
    private readonly announced = new AnnouncedIncarnation();
    private readonly departure = new EndpointDeparture();
    private currentReport: EndpointReport | undefined;
    private hadIncarnation = false;
    /**
     * Whether the report was stored by an earlier agent process and neither a heartbeat nor a response has confirmed
     * it.
     */
    private restored = false;

    /** Fires when the endpoint has deregistered. */
    public readonly onDeregistered = this.deregistrations.event;
    /** Fires when the report has changed by a heartbeat, or another incarnation was announced and does not answer. */
    public readonly onReport = this.reports.event;
    /** Fires when a heartbeat has named another incarnation than the current one. */
    public readonly onAnnounced = this.announcements.event;

    constructor(
        private readonly fence: EndpointFence,
        private readonly state: IncarnationState,
        private readonly liveness: EndpointLiveness,
        private readonly log: Log,
    ) {}

    /**
     * Last heartbeat of the current incarnation, or what stands for it until there is one: the report that an earlier
     * agent process has stored, or, when a new incarnation answers a poll first, the report of the one before with the
     * new start time. Undefined while no endpoint is known.
     */
    public get report(): EndpointReport | undefined {
        return this.currentReport;
    }

    /** Last heartbeat of an incarnation that was announced and has not answered; undefined while there is none. */
    public get announcedReport(): EndpointReport | undefined {
        return this.announced.report;
    }

    /** Whether the endpoint has deregistered: it may go on for seconds, and its runs with it. */
    public get isLeaving(): boolean {
        return this.departure.isLeaving;
    }

    /** Whether the endpoint is known and has not deregistered. */
    public get isRegistered(): boolean {
        return this.currentReport !== undefined && !this.departure.isLeaving;
    }

    /**
     * Whether the endpoint has announced its end. It may close its port and go on for seconds, so refused connections do
     * not show that its runs have ended.
     */
    public get isEndingAsPlanned(): boolean {
        return this.departure.isLeaving || this.currentReport?.draining === true;
    }

    /** Whether `report` is of the current incarnation. */
    public isCurrent(report: EndpointReport): boolean {
        return this.currentReport !== undefined && isSameIncarnation(report, this.currentReport);
    }

    /** Whether `report` is of the announced incarnation. */
    public isAnnounced(report: EndpointReport): boolean {
        return this.announced.is(report);
    }

    /** Begins the incarnation of a stored report, unless a heartbeat has already named one. */
    public restore(report: EndpointReport): void {
        if (this.currentReport === undefined) {
            this.log.write(LeaseEvent.EndpointRestored, { endpoint: report.life.id, born: report.life.bornMs });
            this.beginUnannounced(report);
            this.restored = true;
        }
    }

    /**
     * Handles a heartbeat. An older one, or a delayed one of an endpoint that has deregistered, is ignored. One of
     * another incarnation proves nothing about the current one, so that incarnation is only announced.
     */
    public handleHeartbeat(report: EndpointReport): void {
        const known = this.currentReport;
        const answers = !this.liveness.isLost && !this.liveness.hasFailedPolls;
        const { life, sequence } = report;
        if (this.departure.isOutdated(report, known, answers)) {
            const current = { known: known?.life.id, knownBorn: known?.life.bornMs, knownSequence: known?.sequence };
            this.log.write(LeaseEvent.HeartbeatIgnored, { endpoint: life.id, born: life.bornMs, sequence, ...current });
            return;
        }
        if (known !== undefined && !isSameIncarnation(report, known)) {
            this.announce(report, known);
            return;
        }
        if (known === undefined) {
            this.beginUnannounced(report);
        }
        this.acceptReport(report, known);
        this.departure.cancel();
    }

    /** Handles the deregistration of the endpoint. */
    public handleDeregistration(): void {
        if (this.isRegistered) {
            this.departure.begin();
            this.log.write(LeaseEvent.EndpointDeregistered, { endpoint: this.currentReport?.life.id });
            this.deregistrations.fire(undefined);
        }
    }

    /**
     * Makes the incarnation that has answered a poll the current one. Returns whether its list counts: the poll was sent
     * with a fence that no call to an earlier incarnation had.
     */
    public identify(answering: EndpointReport, poll: SentPoll): boolean {
        if (this.announced.is(answering)) {
            const isFenced = poll.fence >= this.announced.fence;
            const report = this.announced.take() ?? answering;
            this.beginIncarnation(report);
            this.acceptReport(report, undefined);
            return isFenced;
        }
        if (this.announced.is(poll.target)) {
            this.refuteAnnouncement(`list of the incarnation born at ${answering.life.bornMs}`);
        }
        if (this.isCurrent(answering)) {
            return true;
        }
        if (this.restored) {
            // Another incarnation may have another capacity, which only its heartbeat states. Nothing was started in the
            // stored one, because it never answered.
            this.forgetEndpoint("another incarnation answers");
        }
        else {
            this.switchIncarnation(answering.life.bornMs, poll.target);
        }
        return false;
    }

    /** Records that the current incarnation has answered, so that a stored report of it is confirmed. */
    public confirm(): void {
        this.restored = false;
    }

    /** Forgets the announced incarnation, because another one answers. */
    public refuteAnnouncement(evidence: string): void {
        const { id, bornMs } = this.announced.take()?.life ?? {};
        this.log.write(LeaseEvent.AnnouncementRefuted, { endpoint: id, born: bornMs, evidence });
        this.reports.fire(undefined);
    }

    /** Forgets the endpoint, which has no runs any more. An announced incarnation takes its place. */
    public forgetEndpoint(reason: string): void {
        this.liveness.markLost(this.currentReport, reason);
        this.departure.complete(this.currentReport);
        this.currentReport = undefined;
        const announced = this.announced.take();
        if (announced !== undefined) {
            this.beginIncarnation(announced);
            this.acceptReport(announced, undefined);
        }
    }

    public dispose(): void {
        this.deregistrations.dispose();
        this.reports.dispose();
        this.announcements.dispose();
    }

    /** Makes a heartbeat of the current incarnation its last one. */
    private acceptReport(report: EndpointReport, earlier: EndpointReport | undefined): void {
        if (earlier?.draining !== report.draining) {
            this.log.write(LeaseEvent.EndpointState, { endpoint: report.life.id, draining: report.draining });
        }
        this.currentReport = report;
        this.restored = false;
        this.reports.fire(undefined);
    }

    /**
     * Announces another incarnation. Calls under the raised fence rule out that it executes calls to the known one that
     * are still in flight.
     */
    private announce(report: EndpointReport, known: EndpointReport): void {
        if (this.announced.is(report)) {
            this.announced.update(report);
            return;
        }
        const { life: { id, bornMs }, sequence } = report;
        const current = { known: known.life.id, knownBorn: known.life.bornMs };
        this.log.write(LeaseEvent.IncarnationAnnounced, { endpoint: id, born: bornMs, sequence, ...current });
        this.fence.advance();
        this.announced.set(report, this.fence.value);
        this.announcements.fire(undefined);
    }

    /**
     * Begins an incarnation that was not announced. Calls to the earlier one that are still in flight have no effect
     * once this one has seen the higher fence.
     */
    private beginUnannounced(report: EndpointReport): void {
        if (this.hadIncarnation) {
            this.fence.advance();
        }
        this.beginIncarnation(report);
    }

    /** Makes `report` that of the current incarnation. The fence has been raised since calls to an earlier one. */
    private beginIncarnation(report: EndpointReport): void {
        const earlier = this.currentReport;
        this.hadIncarnation = true;
        this.restored = false;
        this.currentReport = report;
        this.departure.cancel();
        this.state.reset();
        this.liveness.resetFailedPolls();
        this.liveness.markLost(earlier, "new life of the endpoint", true);
        this.log.write(LeaseEvent.EndpointFound, { endpoint: report.life.id, born: report.life.bornMs });
    }

    /**
     * Switches to the incarnation that has answered instead of the expected one. It may answer before its first heartbeat,
     * and what is started in it meanwhile must not count as ended when that heartbeat arrives. Its start time may be
     * the lower one, after the endpoint's wall clock was set back: only one of two incarnations answers.
     */
    private switchIncarnation(bornMs: number, expected: EndpointReport): void {
        const life = { ...expected.life, bornMs };
        this.beginUnannounced({ ...expected, life, draining: false, sequence: BEFORE_FIRST_HEARTBEAT });
    }
}
