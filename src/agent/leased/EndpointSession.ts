import type { Clock } from "../../common/Clock.js";
import type { Disposable } from "../../common/Disposable.js";
import { Emitter } from "../../common/Emitter.js";
import { LEASE_TIMES } from "../../common/leased/LEASE_TIMES.js";
import type { Log } from "../../common/log/Log.js";
import { AnnouncedIncarnation } from "./AnnouncedIncarnation.js";
import { EndpointClockEstimate } from "./EndpointClockEstimate.js";
import type { EndpointControl } from "./EndpointControl.js";
import { EndpointDeparture } from "./EndpointDeparture.js";
import type { EndpointReport } from "./EndpointReport.js";
import { FailedPolls } from "./FailedPolls.js";
import { isSameIncarnation } from "./isSameIncarnation.js";
import { LeaseEvent } from "./LeaseEvent.js";
import { LeaseRenewals } from "./LeaseRenewals.js";
import { nameIncarnation } from "./nameIncarnation.js";
import { PollOutcome } from "./PollOutcome.js";
import type { RunList } from "./RunList.js";

/**
 * How long a poll waits at the endpoint for a run to end. The endpoint lease is renewed when it is sent, not when it is
 * answered.
 */
const POLL_WAIT_MS = 200;

/** Time beyond its wait after which a poll counts as unanswered. The endpoint lease outlasts a single lost poll. */
const POLL_SLACK_MS = 120;

/** Delay of the poll after one that listed finished runs, so that it also lists runs that end meanwhile. */
const COLLECT_DELAY_MS = 10;

/**
 * Step by which the fence is raised when the endpoint has seen a higher one, for example after the VM's wall clock was
 * set back.
 */
const FENCE_STEP = 1_000_000;

/** Lower than the sequence number of any heartbeat. */
const BEFORE_FIRST_HEARTBEAT = -1;

/** Run list with the time at which its poll was sent; the list is at least as recent. */
interface TimedRunList {
    readonly list: RunList;
    readonly sentAt: number;
}

/** Poll for which a response is awaited. */
interface SentPoll {
    readonly target: EndpointReport;
    /** Whether it was sent to an announced incarnation. */
    readonly announced: boolean;
    readonly fence: number;
    readonly sentAt: number;
}

type PollResponse = Awaited<ReturnType<EndpointControl["poll"]>>;

/** End of an incarnation, or expiry of its endpoint lease. */
interface EndpointLoss {
    readonly reason: string;
    /** Whether another incarnation has replaced it, which calls in flight may reach. */
    readonly replaced: boolean;
}

/** Polls the current incarnation of the endpoint: tracks its clock and its run list, and renews the endpoint lease. */
export class EndpointSession implements Disposable {
    private readonly lists = new Emitter<TimedRunList>();
    private readonly losses = new Emitter<EndpointLoss>();
    private readonly leaseRenewals = new Emitter<undefined>();
    private readonly deregistrations = new Emitter<undefined>();
    private readonly reports = new Emitter<undefined>();
    private readonly announced = new AnnouncedIncarnation();
    private readonly clockEstimate: EndpointClockEstimate;
    private readonly failedPolls: FailedPolls;
    private readonly renewals: LeaseRenewals;
    private currentReport: EndpointReport | undefined;
    private acknowledged = 0;
    /** Endpoint's clock at the newest run list. */
    private listedMs = 0;
    private polling = false;
    private answeredAt = Number.NEGATIVE_INFINITY;
    private lost = true;
    private hadIncarnation = false;
    /**
     * Whether the report was stored by an earlier agent process and neither a heartbeat nor a response has confirmed
     * it.
     */
    private restored = false;
    private readonly departure = new EndpointDeparture();
    private disposed = false;
    private leaseLimit = (): number => Number.POSITIVE_INFINITY;
    private hasRuns = (): boolean => false;

    /** Fires with each run list. */
    public readonly onList = this.lists.event;
    /**
     * Fires before each renewal of the endpoint lease, so that runs whose entry lease has expired are stopped before
     * it.
     */
    public readonly onRenewal = this.leaseRenewals.event;
    /** Fires when the endpoint has deregistered: it gets no new runs from then on, and its runs go on. */
    public readonly onDeregistered = this.deregistrations.event;
    /** Fires when the report has changed by a heartbeat, or another incarnation was announced and does not answer. */
    public readonly onReport = this.reports.event;
    /**
     * Fires when what was started at the endpoint counts as ended: its incarnation has ended, or the endpoint lease has
     * expired. Starts that were not answered may still be executed by the next incarnation.
     */
    public readonly onLost = this.losses.event;

    constructor(
        public readonly control: EndpointControl,
        private readonly clock: Clock,
        private readonly log: Log,
        private fenceNumber: number,
    ) {
        this.clockEstimate = new EndpointClockEstimate(clock);
        this.failedPolls = new FailedPolls(clock);
        this.renewals = new LeaseRenewals(clock);
    }

    /**
     * Last heartbeat of the current incarnation; undefined before the first one and after its end. Another incarnation
     * becomes the current one when it answers.
     */
    public get report(): EndpointReport | undefined {
        return this.currentReport;
    }

    /** Name of the current incarnation in messages. */
    public get incarnation(): string | undefined {
        return this.currentReport && nameIncarnation(this.currentReport.life);
    }

    public get fence(): number {
        return this.fenceNumber;
    }

    /** Whether the incarnation has ended or its endpoint lease has expired, without a response since. */
    public get isLost(): boolean {
        return this.lost;
    }

    /** Whether the endpoint is known and has not deregistered. */
    public get isRegistered(): boolean {
        return this.currentReport !== undefined && !this.departure.isLeaving;
    }

    /** Whether the endpoint has answered recently and can be given work. */
    public get isAvailable(): boolean {
        const hasAnswered = this.clock.now() - this.answeredAt < POLL_WAIT_MS + 2 * POLL_SLACK_MS;
        return this.isRegistered && !this.lost && hasAnswered && this.announced.report === undefined
            && this.leaseLimitMs > (this.clockEstimate.now() ?? 0) + LEASE_TIMES.START_WINDOW_MS;
    }

    /**
     * Time on the endpoint's clock beyond which the endpoint lease is not renewed, because a run that is no longer
     * wanted may still be there. Infinite otherwise.
     */
    public get leaseLimitMs(): number {
        return this.leaseLimit();
    }

    /** Estimate of the endpoint's clock in milliseconds; undefined before its first response. */
    public get clockMs(): number | undefined {
        return this.clockEstimate.now();
    }

    /** Sets the function that returns the limit of the endpoint lease. */
    public setLeaseLimit(limit: () => number): void {
        this.leaseLimit = limit;
    }

    /**
     * Sets the function that returns whether the agent has runs, or a late start may still begin one; an endpoint that
     * leaves is polled until it returns false.
     */
    public setHasRuns(hasRuns: () => boolean): void {
        this.hasRuns = hasRuns;
    }

    /** Polls the endpoint of a stored report, unless a heartbeat has already named one. */
    public restore(report: EndpointReport): void {
        if (this.currentReport === undefined) {
            this.log.write(LeaseEvent.EndpointRestored, { endpoint: report.life.id, born: report.life.bornMs });
            this.beginUnannounced(report);
            this.restored = true;
            this.startPolling();
        }
    }

    /**
     * Handles a heartbeat. An older one, or a delayed one of an endpoint that has deregistered, is ignored. One of another
     * incarnation proves nothing about the current one, so that incarnation is polled at once.
     */
    public handleHeartbeat(report: EndpointReport): void {
        const known = this.currentReport;
        const answers = !this.lost && this.failedPolls.count === 0;
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
        this.startPolling();
    }

    /**
     * Handles the deregistration of the endpoint. It ends once the deregistration is acknowledged, and without an
     * acknowledgement some seconds later, so its runs go on until polls show that they have ended.
     */
    public handleDeregistration(): void {
        if (this.isRegistered) {
            this.departure.begin();
            this.log.write(LeaseEvent.EndpointDeregistered, { endpoint: this.currentReport?.life.id });
            this.deregistrations.fire(undefined);
        }
    }

    /** Updates the estimate of the clock from the response to a call that was meant for the incarnation of `report`. */
    public observeClock(clockMs: number | undefined, report: EndpointReport | undefined): void {
        if (report !== undefined && this.currentReport !== undefined && isSameIncarnation(report, this.currentReport)) {
            this.clockEstimate.observe(clockMs);
        }
    }

    /** Raises the fence after the endpoint has rejected `refused`, unless it has been raised since. */
    public raiseFence(refused: number): void {
        if (this.fenceNumber === refused) {
            this.fenceNumber += FENCE_STEP;
            this.log.write(LeaseEvent.FenceRaised, { fence: this.fenceNumber });
        }
    }

    /**
     * Raises the fence after a start with the fence `sent` was not answered: the first call that any incarnation of the
     * endpoint executes from then on prevents that the start still takes effect there.
     */
    public outdateFence(sent: number): void {
        if (this.fenceNumber === sent) {
            this.fenceNumber += 1;
        }
    }

    /**
     * Polls the run list at once, beside the poll that waits; undefined when the known incarnation did not answer with
     * a list.
     */
    public pollNow(): Promise<RunList | undefined> {
        return this.poll(0);
    }

    public dispose(): void {
        this.disposed = true;
        this.lists.dispose();
        this.leaseRenewals.dispose();
        this.deregistrations.dispose();
        this.reports.dispose();
        this.losses.dispose();
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
     * Polls another incarnation. Calls under the raised fence rule out that it executes calls to the known one that are
     * still in flight.
     */
    private announce(report: EndpointReport, known: EndpointReport): void {
        if (this.announced.is(report)) {
            this.announced.update(report);
            return;
        }
        const { life: { id, bornMs }, sequence } = report;
        const current = { known: known.life.id, knownBorn: known.life.bornMs };
        this.log.write(LeaseEvent.IncarnationAnnounced, { endpoint: id, born: bornMs, sequence, ...current });
        this.fenceNumber += 1;
        this.announced.set(report, this.fenceNumber);
        void this.poll(0);
    }

    /** Forgets the announced incarnation, because another one answers. */
    private refuteAnnouncement(evidence: string): void {
        const { id, bornMs } = this.announced.take()?.life ?? {};
        this.log.write(LeaseEvent.AnnouncementRefuted, { endpoint: id, born: bornMs, evidence });
        this.reports.fire(undefined);
    }

    /** Forgets the endpoint, which has no runs any more. An announced incarnation takes its place. */
    private forgetEndpoint(reason: string): void {
        this.markLost(reason);
        this.departure.complete(this.currentReport);
        this.currentReport = undefined;
        const announced = this.announced.take();
        if (announced !== undefined) {
            this.beginIncarnation(announced);
            this.acceptReport(announced, undefined);
        }
    }

    /**
     * Begins an incarnation that was not announced. Calls to the earlier one that are still in flight have no effect
     * once this one has seen the higher fence.
     */
    private beginUnannounced(report: EndpointReport): void {
        if (this.hadIncarnation) {
            this.fenceNumber += 1;
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
        this.acknowledged = 0;
        this.listedMs = 0;
        this.clockEstimate.reset();
        this.failedPolls.reset();
        this.markLost("new life of the endpoint", true, earlier);
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

    private markLost(reason: string, replaced = false, report = this.currentReport): void {
        if (!this.lost) {
            this.lost = true;
            const answerAgeMs = Math.round(this.clock.now() - this.answeredAt);
            const renewalAgeMs = Math.round(this.renewals.ageMs);
            const { id, bornMs } = report?.life ?? {};
            this.log.write(LeaseEvent.EndpointLost, { endpoint: id, born: bornMs, reason, answerAgeMs, renewalAgeMs });
        }
        this.losses.fire({ reason, replaced });
    }

    private startPolling(): void {
        if (!this.polling && !this.disposed && this.currentReport !== undefined) {
            this.polling = true;
            void this.pollLoop();
        }
    }

    private async pollLoop(): Promise<void> {
        while (!this.disposed && this.currentReport !== undefined) {
            const sentAt = this.clock.now();
            // The next incarnation of a lost endpoint would hold a poll back until one of its runs ends.
            const list = await this.poll(this.lost ? 0 : POLL_WAIT_MS);
            if (this.departure.isLeaving && !this.hasRuns() && (this.lost || list?.running.length === 0)) {
                this.forgetEndpoint("endpoint deregistered");
            }
            const pauseMs = list === undefined
                ? this.failedPolls.retryIntervalMs - (this.clock.now() - sentAt)
                : pollDelayAfter(list);
            if (pauseMs > 0) {
                await this.pause(pauseMs);
            }
        }
        this.polling = false;
    }

    /**
     * Polls the announced incarnation, or else the current one, and returns the list of the one that is then current;
     * undefined without a list, or when it was requested before the endpoint was known to be that incarnation.
     */
    private async poll(waitMs: number): Promise<RunList | undefined> {
        const target = this.announced.report ?? this.currentReport;
        if (target === undefined || this.disposed) {
            return undefined;
        }
        this.leaseRenewals.fire(undefined);
        const announced = this.announced.is(target);
        const sentAt = this.clock.now();
        const fence = this.fenceNumber;
        // The clock and the acknowledged runs are those of the current incarnation.
        const clockMs = announced ? undefined : this.clockEstimate.now();
        const untilMs = clockMs === undefined || !this.renewsLease
            ? undefined
            : Math.min(clockMs + LEASE_TIMES.ENDPOINT_LEASE_MS, this.leaseLimitMs);
        if (untilMs !== undefined) {
            this.renewals.begin();
        }
        const response = await this.control.poll({
            endpoint: target.life.id,
            fence,
            untilMs,
            acknowledged: announced ? 0 : this.acknowledged,
            waitMs: clockMs === undefined ? 0 : waitMs,
            timeoutMs: waitMs + POLL_SLACK_MS,
        });
        if (untilMs !== undefined) {
            this.renewals.settle(sentAt, response.outcome === PollOutcome.Unreachable);
        }
        return this.handleResponse({ target, announced, fence, sentAt }, response);
    }

    private handleResponse(poll: SentPoll, response: PollResponse): RunList | undefined {
        const { target } = poll;
        const isExpected = this.announced.is(target) || this.isCurrent(target);
        if (response.outcome === PollOutcome.Listed && response.list !== undefined) {
            const bornMs = response.list.bornMs ?? target.life.bornMs;
            const answering = { ...target, life: { ...target.life, bornMs } };
            const isListed = (isExpected || this.isCurrent(answering)) && this.identify(answering, poll);
            return isListed ? this.handleList(response.list, poll.sentAt, response.clockMs) : undefined;
        }
        if (isExpected) {
            this.handleFailedPoll(poll, response);
        }
        return undefined;
    }

    /**
     * Makes the incarnation that has answered a poll the current one. Returns whether its list counts: the poll was sent
     * with a fence that no call to an earlier incarnation had.
     */
    private identify(answering: EndpointReport, poll: SentPoll): boolean {
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

    private isCurrent(report: EndpointReport): boolean {
        return this.currentReport !== undefined && isSameIncarnation(report, this.currentReport);
    }

    /** Handles a run list and returns it; undefined when a newer one has been handled before. */
    private handleList(list: RunList, sentAt: number, clockMs: number | undefined): RunList | undefined {
        this.clockEstimate.observe(clockMs);
        this.answeredAt = this.clock.now();
        this.failedPolls.reset();
        this.restored = false;
        if (this.lost) {
            this.lost = false;
            this.log.write(LeaseEvent.EndpointAnswers, { endpoint: this.currentReport?.life.id });
        }
        if (clockMs !== undefined && clockMs < this.listedMs) {
            return undefined;
        }
        this.listedMs = clockMs ?? this.listedMs;
        this.lists.fire({ list, sentAt });
        const numbers = list.finished.map(finished => finished.number);
        this.acknowledged = Math.max(this.acknowledged, ...numbers);
        return list;
    }

    private handleFailedPoll(poll: SentPoll, { outcome, clockMs }: PollResponse): void {
        const isOther = outcome === PollOutcome.OtherIncarnation;
        if (isOther && this.announced.is(poll.target)) {
            this.refuteAnnouncement("an incarnation with another id answers");
            if (poll.target.life.id !== this.currentReport?.life.id) {
                return;
            }
        }
        if (!isOther && !poll.announced) {
            this.clockEstimate.observe(clockMs);
        }
        this.failedPolls.record(outcome);
        if (this.failedPolls.count === 1) {
            this.log.write(LeaseEvent.PollFailed, { endpoint: poll.target.life.id, outcome });
        }
        if (outcome === PollOutcome.Fenced) {
            this.raiseFence(poll.fence);
            return;
        }
        if (this.failedPolls.refusedBefore(poll.sentAt) && !this.isEndingAsPlanned) {
            this.markLost("connection refused");
        }
        else if (isOther) {
            this.markLost("another incarnation answers");
        }
        else if (this.renewals.hasExpired(this.answeredAt)) {
            this.markLost("endpoint lease expired without a response");
        }
    }

    /**
     * Whether polls renew the endpoint lease. Until a list has shown which runs are there, they may be those of an earlier
     * agent process, or have been returned. An endpoint that leaves and no longer answers gets no renewals, so that its
     * last lease expires.
     */
    private get renewsLease(): boolean {
        return !this.lost && !(this.departure.isLeaving && this.failedPolls.count > 0);
    }

    /**
     * Whether the endpoint has announced its end. It may close its port and go on for seconds, so refused connections do
     * not show that its runs have ended.
     */
    private get isEndingAsPlanned(): boolean {
        return this.departure.isLeaving || this.currentReport?.draining === true;
    }

    private pause(ms: number): Promise<void> {
        return new Promise(resolve => {
            this.clock.schedule(ms, resolve);
        });
    }
}

/** Delays the poll after a list with finished runs: runs that end at about the same time are then listed together. */
function pollDelayAfter(list: RunList): number {
    return list.finished.length > 0 ? COLLECT_DELAY_MS : 0;
}
