import type { Clock } from "../../common/Clock.js";
import type { Disposable } from "../../common/Disposable.js";
import { Emitter } from "../../common/Emitter.js";
import type { Log } from "../../common/log/Log.js";
import type { EndpointReport } from "./EndpointReport.js";
import { FailedPolls } from "./FailedPolls.js";
import { LeaseEvent } from "./LeaseEvent.js";
import type { LeaseRenewals } from "./LeaseRenewals.js";
import type { PollOutcome } from "./PollOutcome.js";

/** End of an incarnation, or expiry of its endpoint lease. */
interface EndpointLoss {
    readonly reason: string;
    /** Whether another incarnation has replaced it, which calls in flight may reach. */
    readonly replaced: boolean;
}

/** Whether the endpoint answers polls, and whether it counts as lost. */
export class EndpointLiveness implements Disposable {
    private readonly losses = new Emitter<EndpointLoss>();
    private readonly failedPolls: FailedPolls;
    private answeredAt = Number.NEGATIVE_INFINITY;
    private lost = true;

    /** Fires when the endpoint is marked as lost, also if it already counts as lost. */
    public readonly onLost = this.losses.event;

    constructor(
        private readonly renewals: LeaseRenewals,
        private readonly clock: Clock,
        private readonly log: Log,
    ) {
        this.failedPolls = new FailedPolls(clock);
    }

    /** Whether the incarnation has ended or its endpoint lease has expired, without a response since. */
    public get isLost(): boolean {
        return this.lost;
    }

    /** Time since the last run list. */
    public get answerAgeMs(): number {
        return this.clock.now() - this.answeredAt;
    }

    /** Whether the last poll was not answered with a run list. */
    public get hasFailedPolls(): boolean {
        return this.failedPolls.count > 0;
    }

    /** Minimum time from the start of a failed poll to the next one. */
    public get retryIntervalMs(): number {
        return this.failedPolls.retryIntervalMs;
    }

    /** Whether the lease of the runs that were last listed has certainly expired. */
    public get hasLeaseExpired(): boolean {
        return this.renewals.hasExpired(this.answeredAt);
    }

    /** Whether connections had been refused for long enough at `sentAt`, when the last poll was sent. */
    public refusedBefore(sentAt: number): boolean {
        return this.failedPolls.refusedBefore(sentAt);
    }

    /** Records that the incarnation of `report` has answered with a run list. */
    public recordAnswer(report: EndpointReport | undefined): void {
        this.answeredAt = this.clock.now();
        this.failedPolls.reset();
        if (this.lost) {
            this.lost = false;
            this.log.write(LeaseEvent.EndpointAnswers, { endpoint: report?.life.id });
        }
    }

    /** Records a poll to the incarnation of `target` that was not answered with a run list. */
    public recordFailedPoll(target: EndpointReport, outcome: PollOutcome): void {
        this.failedPolls.record(outcome);
        if (this.failedPolls.count === 1) {
            this.log.write(LeaseEvent.PollFailed, { endpoint: target.life.id, outcome });
        }
    }

    /** Discards the failed polls of an earlier incarnation. */
    public resetFailedPolls(): void {
        this.failedPolls.reset();
    }

    /** Marks the incarnation of `report` as lost. `replaced` says whether another incarnation has replaced it. */
    public markLost(report: EndpointReport | undefined, reason: string, replaced = false): void {
        if (!this.lost) {
            this.lost = true;
            const answerAgeMs = Math.round(this.answerAgeMs);
            const renewalAgeMs = Math.round(this.renewals.ageMs);
            const { id, bornMs } = report?.life ?? {};
            this.log.write(LeaseEvent.EndpointLost, { endpoint: id, born: bornMs, reason, answerAgeMs, renewalAgeMs });
        }
        this.losses.fire({ reason, replaced });
    }

    public dispose(): void {
        this.losses.dispose();
    }
}
