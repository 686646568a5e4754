import type { Clock } from "../../common/Clock.js";
import type { Disposable } from "../../common/Disposable.js";
import { Emitter } from "../../common/Emitter.js";
import { LEASE_TIMES } from "../../common/leased/LEASE_TIMES.js";
import type { Log } from "../../common/log/Log.js";
import { EndpointClock } from "./EndpointClock.js";
import type { EndpointControl } from "./EndpointControl.js";
import type { EndpointReport } from "./EndpointReport.js";
import { isOlderReport } from "./isOlderReport.js";
import { isSameIncarnation } from "./isSameIncarnation.js";
import { LeaseEvent } from "./LeaseEvent.js";
import { MissedLooks } from "./MissedLooks.js";
import { PollOutcome } from "./PollOutcome.js";
import type { RunList } from "./RunList.js";

/** How long a look waits for an end; it renews the lease when it is sent. */
const LOOK_WAIT_MS = 200;

/** Time beyond its wait after which a look is taken as lost. One lost look leaves the lease in force. */
const LOOK_SLACK_MS = 120;

/** Time from a look that showed ends to the next one, which collects the ends of other runs meanwhile. */
const COLLECT_MS = 10;

/** Leases end this much after the last renewal that may have arrived: lease on the slowest clock, and a margin. */
const LAPSE_MS = LEASE_TIMES.ENDPOINT_LEASE_MS / LEASE_TIMES.MIN_CLOCK_RATE + 30;

/** How far a fence is raised when the endpoint has seen a higher one, as after a step back of the time of day. */
const FENCE_STEP = 1_000_000;

/** Lower than the number of any heartbeat. */
const BEFORE_FIRST_HEARTBEAT = -1;

/** List with the time when its look was sent; the list is at least as new. */
interface Observation {
    readonly list: RunList;
    readonly sentAt: number;
}

/** End of a life, or of all leases in it. */
interface EndpointLoss {
    readonly reason: string;
    /** Whether another life has taken its place, which calls in flight may reach. */
    readonly replaced: boolean;
}

/** Task that keeps one life of the endpoint in view: its clock, its lease and its run list. */
export class EndpointSession implements Disposable {
    private readonly lists = new Emitter<Observation>();
    private readonly losses = new Emitter<EndpointLoss>();
    private readonly renewals = new Emitter<undefined>();
    private readonly time: EndpointClock;
    private readonly missed: MissedLooks;
    private current: EndpointReport | undefined;
    private acknowledged = 0;
    /** Time on the endpoint's clock of the newest list. */
    private listedMs = 0;
    private looking = false;
    private answeredAt = Number.NEGATIVE_INFINITY;
    private renewedAt = Number.NEGATIVE_INFINITY;
    private gone = true;
    private hadLife = false;
    /** Whether the report is of an earlier process and neither a heartbeat nor an answer has confirmed it. */
    private recalled = false;
    private disposed = false;
    private limit = (): number => Number.POSITIVE_INFINITY;

    /** Fires with each run list. */
    public readonly onList = this.lists.event;
    /** Fires before each renewal of the lease, for stops that must not come after it. */
    public readonly onRenewal = this.renewals.event;
    /** Fires once what ran at the endpoint is over: its life or all leases have ended. */
    public readonly onGone = this.losses.event;

    constructor(
        public readonly control: EndpointControl,
        private readonly clock: Clock,
        private readonly log: Log,
        private fenceNumber: number,
    ) {
        this.time = new EndpointClock(clock);
        this.missed = new MissedLooks(clock);
    }

    /** Last heartbeat of the current life. */
    public get report(): EndpointReport | undefined {
        return this.current;
    }

    public get fence(): number {
        return this.fenceNumber;
    }

    /** Whether the life or all of its leases have ended, and no answer has come since. */
    public get isGone(): boolean {
        return this.gone;
    }

    /** Whether the endpoint answered lately and can be given work. */
    public get alive(): boolean {
        const answers = this.clock.now() - this.answeredAt < LOOK_WAIT_MS + 2 * LOOK_SLACK_MS;
        return !this.gone && answers && this.leaseLimitMs > (this.time.now() ?? 0) + LEASE_TIMES.START_WINDOW_MS;
    }

    /** Time on the endpoint's clock beyond which the lease is not renewed, because a run is there that nobody wants. */
    public get leaseLimitMs(): number {
        return this.limit();
    }

    /** Endpoint's clock in milliseconds; undefined before its first answer. */
    public get clockMs(): number | undefined {
        return this.time.now();
    }

    /** Sets what bounds the lease. */
    public limitLease(limit: () => number): void {
        this.limit = limit;
    }

    /** Tries the endpoint of an earlier process, unless a heartbeat has named one. */
    public recall(report: EndpointReport): void {
        if (this.current === undefined) {
            this.log.write(LeaseEvent.EndpointRecalled, { endpoint: report.life.id, born: report.life.bornMs });
            this.announce(report);
            this.recalled = true;
        }
    }

    /** Takes a heartbeat. An older life, or an older heartbeat of this life, changes nothing. */
    public announce(report: EndpointReport): void {
        const known = this.current;
        if (known !== undefined && isOlderReport(report, known)) {
            this.log.write(LeaseEvent.HeartbeatIgnored, { endpoint: report.life.id, sequence: report.sequence });
            return;
        }
        if (known === undefined || !isSameIncarnation(report, known)) {
            this.begin(report);
        }
        if (known?.draining !== report.draining) {
            this.log.write(LeaseEvent.EndpointState, { endpoint: report.life.id, draining: report.draining });
        }
        this.current = report;
        this.recalled = false;
        this.lookOn();
    }

    /** Takes the clock of an answer to a call that was meant for the life of `report`. */
    public observe(clockMs: number | undefined, report: EndpointReport | undefined): void {
        if (report !== undefined && this.current !== undefined && isSameIncarnation(report, this.current)) {
            this.time.observe(clockMs);
        }
    }

    /** Raises the fence after the endpoint has refused the present one. */
    public raiseFence(refused: number): void {
        if (this.fenceNumber === refused) {
            this.fenceNumber += FENCE_STEP;
            this.log.write(LeaseEvent.FenceRaised, { fence: this.fenceNumber });
        }
    }

    /** Looks at the run list at once, beside the waiting look; undefined when the known life did not answer with one. */
    public lookNow(): Promise<RunList | undefined> {
        return this.look(0);
    }

    /** Says that the endpoint has left; nothing runs there any more. */
    public leave(): void {
        this.end("endpoint left");
        this.current = undefined;
    }

    public dispose(): void {
        this.disposed = true;
        this.lists.dispose();
        this.renewals.dispose();
        this.losses.dispose();
    }

    private begin(report: EndpointReport): void {
        if (this.hadLife) {
            // Calls to the earlier life that are still under way do nothing here once this life has seen the higher fence.
            this.fenceNumber += 1;
        }
        this.hadLife = true;
        this.end("new life of the endpoint", true);
        this.log.write(LeaseEvent.EndpointFound, { endpoint: report.life.id, born: report.life.bornMs });
        this.acknowledged = 0;
        this.listedMs = 0;
        this.time.reset();
        this.missed.reset();
    }

    /**
     * Takes note of the life that has answered instead of the known one. It may answer before its first heartbeat, and
     * what is started in it meanwhile must not count as ended when that heartbeat comes. Its start time may be the lower one,
     * after a step back of the endpoint's time of day: only one of two lives answers.
     */
    private meet(bornMs: number, known: EndpointReport): void {
        const life = { ...known.life, bornMs };
        const report = { ...known, life, draining: false, sequence: BEFORE_FIRST_HEARTBEAT };
        this.begin(report);
        this.current = report;
    }

    private end(reason: string, replaced = false): void {
        if (!this.gone) {
            this.gone = true;
            this.log.write(LeaseEvent.EndpointLost, { endpoint: this.current?.life.id, reason });
        }
        this.losses.fire({ reason, replaced });
    }

    private lookOn(): void {
        if (!this.looking && !this.disposed && this.current !== undefined) {
            this.looking = true;
            void this.lookLoop();
        }
    }

    private async lookLoop(): Promise<void> {
        while (!this.disposed && this.current !== undefined) {
            const sentAt = this.clock.now();
            const list = await this.look(LOOK_WAIT_MS);
            const pauseMs = list === undefined ? this.missed.retryMs - (this.clock.now() - sentAt) : pauseAfter(list);
            if (pauseMs > 0) {
                await this.pause(pauseMs);
            }
        }
        this.looking = false;
    }

    /** Looks once; returns the list of the known life, undefined when there was no answer or another life gave it. */
    private async look(waitMs: number): Promise<RunList | undefined> {
        const report = this.current;
        if (report === undefined) {
            return undefined;
        }
        this.renewals.fire(undefined);
        const sentAt = this.clock.now();
        const fence = this.fenceNumber;
        const clockMs = this.time.now();
        const untilMs = clockMs === undefined
            ? undefined
            : Math.min(clockMs + LEASE_TIMES.ENDPOINT_LEASE_MS, this.leaseLimitMs);
        this.renewedAt = untilMs === undefined ? this.renewedAt : sentAt;
        const answer = await this.control.poll({
            endpoint: report.life.id,
            fence,
            untilMs,
            acknowledged: this.acknowledged,
            waitMs: clockMs === undefined ? 0 : waitMs,
            timeoutMs: waitMs + LOOK_SLACK_MS,
        });
        if (this.current === undefined || !isSameIncarnation(this.current, report)) {
            return undefined;
        }
        const bornMs = answer.list?.bornMs ?? report.life.bornMs;
        if (bornMs !== report.life.bornMs && this.recalled) {
            // Another life may be of another size; its heartbeat says of which.
            this.leave();
            return undefined;
        }
        if (bornMs !== report.life.bornMs) {
            this.meet(bornMs, report);
            return undefined;
        }
        this.time.observe(answer.clockMs);
        if (answer.outcome === PollOutcome.Listed && answer.list !== undefined) {
            return this.take({ list: answer.list, sentAt }, answer.clockMs);
        }
        this.miss(answer.outcome, fence, sentAt);
        return undefined;
    }

    /** Takes a list and returns it; undefined when a newer one has overtaken it. */
    private take(observation: Observation, clockMs = this.listedMs): RunList | undefined {
        this.answeredAt = this.clock.now();
        this.missed.reset();
        this.recalled = false;
        if (this.gone) {
            this.gone = false;
            this.log.write(LeaseEvent.EndpointAnswers, { endpoint: this.current?.life.id });
        }
        if (clockMs < this.listedMs) {
            return undefined;
        }
        this.listedMs = clockMs;
        this.lists.fire(observation);
        const numbers = observation.list.finished.map(finished => finished.number);
        this.acknowledged = Math.max(this.acknowledged, ...numbers);
        return observation.list;
    }

    private miss(outcome: PollOutcome, fence: number, sentAt: number): void {
        this.missed.add(outcome);
        if (this.missed.count === 1) {
            this.log.write(LeaseEvent.LookMissed, { endpoint: this.current?.life.id, outcome });
        }
        if (outcome === PollOutcome.Fenced) {
            this.raiseFence(fence);
            return;
        }
        const lapsed = this.clock.now() - this.answeredAt > LAPSE_MS && this.clock.now() - this.renewedAt > LAPSE_MS;
        if (this.missed.refusedBefore(sentAt)) {
            this.end("connection refused");
        }
        else if (outcome === PollOutcome.OtherIncarnation) {
            this.end("another life answers");
        }
        else if (lapsed) {
            this.end("leases lapsed without an answer");
        }
    }

    private pause(ms: number): Promise<void> {
        return new Promise(resolve => {
            this.clock.schedule(ms, resolve);
        });
    }
}

/** Ends that come together are collected by one more look. */
function pauseAfter(list: RunList): number {
    return list.finished.length > 0 ? COLLECT_MS : 0;
}
