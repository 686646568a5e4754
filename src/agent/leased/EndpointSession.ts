import type { Clock } from "../../common/Clock.js";
import type { Disposable } from "../../common/Disposable.js";
import { DisposableStore } from "../../common/DisposableStore.js";
import { LEASE_TIMES } from "../../common/leased/LEASE_TIMES.js";
import type { Log } from "../../common/log/Log.js";
import type { EndpointControl } from "./EndpointControl.js";
import { EndpointFence } from "./EndpointFence.js";
import { EndpointLease } from "./EndpointLease.js";
import { EndpointLiveness } from "./EndpointLiveness.js";
import { EndpointPolls } from "./EndpointPolls.js";
import type { EndpointReport } from "./EndpointReport.js";
import { IncarnationState } from "./IncarnationState.js";
import { IncarnationTracker } from "./IncarnationTracker.js";
import type { LeaseRenewal } from "./LeaseRenewal.js";
import { LeaseRenewals } from "./LeaseRenewals.js";
import { nameIncarnation } from "./nameIncarnation.js";
import { POLL_TIMES } from "./POLL_TIMES.js";
import { PollLoop } from "./PollLoop.js";
import { PollResponses } from "./PollResponses.js";
import type { RunList } from "./RunList.js";

/** Polls the current incarnation of the endpoint: tracks its clock and its run list, and renews the endpoint lease. */
export class EndpointSession implements Disposable {
    private readonly disposables = new DisposableStore();
    private readonly endpointFence: EndpointFence;
    private readonly state: IncarnationState;
    private readonly liveness: EndpointLiveness;
    private readonly incarnations: IncarnationTracker;
    private readonly lease: EndpointLease;
    private readonly polls: EndpointPolls;
    private readonly loop: PollLoop;

    /** Fires with each run list. */
    public readonly onList: PollResponses["onList"];
    /**
     * Fires before each renewal of the endpoint lease, so that runs whose entry lease has expired are stopped before
     * it.
     */
    public readonly onRenewal: EndpointPolls["onRenewal"];
    /** Fires when the endpoint has deregistered: it gets no new runs from then on, and its runs go on. */
    public readonly onDeregistered: IncarnationTracker["onDeregistered"];
    /** Fires when the report has changed by a heartbeat, or another incarnation was announced and does not answer. */
    public readonly onReport: IncarnationTracker["onReport"];
    /**
     * Fires when what was started at the endpoint counts as ended: its incarnation has ended, or the endpoint lease has
     * expired. Starts that were not answered may still be executed by the next incarnation.
     */
    public readonly onLost: EndpointLiveness["onLost"];

    constructor(public readonly control: EndpointControl, clock: Clock, log: Log, fence: number) {
        const { disposables } = this;
        const renewals = new LeaseRenewals(clock);
        this.endpointFence = new EndpointFence(fence, log);
        this.state = new IncarnationState(clock);
        this.liveness = disposables.add(new EndpointLiveness(renewals, clock, log));
        this.incarnations = disposables.add(
            new IncarnationTracker(this.endpointFence, this.state, this.liveness, log),
        );
        this.lease = new EndpointLease(this.incarnations, this.liveness, renewals);
        const responses = disposables.add(
            new PollResponses(this.incarnations, this.endpointFence, this.state, this.liveness),
        );
        this.polls = disposables.add(
            new EndpointPolls(
                control,
                this.incarnations,
                this.state,
                this.endpointFence,
                this.lease,
                responses,
                clock,
            ),
        );
        this.loop = disposables.add(new PollLoop(this.incarnations, this.polls, this.liveness, clock));
        this.incarnations.onAnnounced(() => void this.polls.poll(0));
        this.onList = responses.onList;
        this.onRenewal = this.polls.onRenewal;
        this.onDeregistered = this.incarnations.onDeregistered;
        this.onReport = this.incarnations.onReport;
        this.onLost = this.liveness.onLost;
    }

    /**
     * Last heartbeat of the current incarnation; undefined before the first one and after its end. Another incarnation
     * becomes the current one when it answers.
     */
    public get report(): EndpointReport | undefined {
        return this.incarnations.report;
    }

    /** Name of the current incarnation in messages. */
    public get incarnation(): string | undefined {
        return this.report && nameIncarnation(this.report.life);
    }

    public get fence(): number {
        return this.endpointFence.value;
    }

    /** Whether the incarnation has ended or its endpoint lease has expired, without a response since. */
    public get isLost(): boolean {
        return this.liveness.isLost;
    }

    /** Whether the endpoint is known and has not deregistered. */
    public get isRegistered(): boolean {
        return this.incarnations.isRegistered;
    }

    /** Whether the endpoint has answered recently and can be given work. */
    public get isAvailable(): boolean {
        const hasAnswered = this.liveness.answerAgeMs < POLL_TIMES.WAIT_MS + 2 * POLL_TIMES.SLACK_MS;
        return this.isRegistered && !this.isLost && hasAnswered && this.incarnations.announcedReport === undefined
            && this.leaseLimitMs > (this.clockMs ?? 0) + LEASE_TIMES.START_WINDOW_MS;
    }

    /**
     * Time on the endpoint's clock beyond which the endpoint lease is not renewed, because a run that is no longer
     * wanted may still be there. Infinite otherwise.
     */
    public get leaseLimitMs(): number {
        return this.lease.limitMs;
    }

    /**
     * Begins a start that may take effect until `startBeforeMs` on the endpoint's clock. It renews the endpoint lease
     * until then, or until the limit of the lease.
     */
    public beginStart(startBeforeMs: number): ReturnType<EndpointLease["beginStart"]> {
        return this.lease.beginStart(this.clockMs, startBeforeMs);
    }

    /** Records the end of a call that renews the endpoint lease; a refused one has not renewed it. */
    public settleRenewal(renewal: LeaseRenewal, refused: boolean): void {
        this.lease.settle(renewal, refused);
    }

    /** Estimate of the endpoint's clock in milliseconds; undefined before its first response. */
    public get clockMs(): number | undefined {
        return this.state.clockMs;
    }

    /** Sets the function that returns the limit of the endpoint lease. */
    public setLeaseLimit(limit: () => number): void {
        this.lease.setLimit(limit);
    }

    /**
     * Sets the function that returns whether the agent has runs, or a late start may still begin one; an endpoint that
     * leaves is polled until it returns false.
     */
    public setHasRuns(hasRuns: () => boolean): void {
        this.loop.setHasRuns(hasRuns);
    }

    /** Polls the endpoint of a stored report, unless a heartbeat has already named one. */
    public restore(report: EndpointReport): void {
        this.incarnations.restore(report);
        this.loop.start();
    }

    /**
     * Handles a heartbeat. An older one, or a delayed one of an endpoint that has deregistered, is ignored. One of another
     * incarnation proves nothing about the current one, so that incarnation is polled at once.
     */
    public handleHeartbeat(report: EndpointReport): void {
        this.incarnations.handleHeartbeat(report);
        this.loop.start();
    }

    /**
     * Handles the deregistration of the endpoint. It ends once the deregistration is acknowledged, and without an
     * acknowledgement some seconds later, so its runs go on until polls show that they have ended.
     */
    public handleDeregistration(): void {
        this.incarnations.handleDeregistration();
    }

    /**
     * Updates the estimate of the clock from the response to a call that was sent at `sentAt` and meant for the
     * incarnation of `report`.
     */
    public observeClock(clockMs: number | undefined, sentAt: number, report: EndpointReport | undefined): void {
        if (report !== undefined && this.incarnations.isCurrent(report)) {
            this.state.observeClock(clockMs, sentAt);
        }
    }

    /** Raises the fence after the endpoint has rejected `refused`, unless it has been raised since. */
    public raiseFence(refused: number): void {
        this.endpointFence.raise(refused);
    }

    /**
     * Raises the fence after a start with the fence `sent` was not answered: the first call that any incarnation of the
     * endpoint executes from then on prevents that the start still takes effect there.
     */
    public outdateFence(sent: number): void {
        this.endpointFence.outdate(sent);
    }

    /**
     * Polls the run list at once, beside the poll that waits; undefined when the known incarnation did not answer with
     * a list.
     */
    public pollNow(): Promise<RunList | undefined> {
        return this.polls.poll(0);
    }

    public dispose(): void {
        this.disposables.dispose();
    }
}
